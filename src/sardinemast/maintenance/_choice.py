"""Choice of the next steps of waves."""

from collections.abc import Callable, Container, Iterable, Iterator
from typing import Any, NamedTuple

from sardinemast.maintenance._records import (
    Condition,
    DomainKind,
    Instance,
    Refusal,
    StepKind,
    Wave,
    WaveOrder,
    WaveStatus,
    get_domain,
)
from sardinemast.maintenance._state import MaintenanceState
from sardinemast.maintenance._windows import is_open
from sardinemast.maintenance.commands import StepStart

# A standing wave begins with an instance when this part of the cadence is
# left, so that pauses and full budgets don't make it late.
LEAD_SHARE = 1 / 3


class Judged(NamedTuple):
    """Hold whether an instance of a wave would be taken now, and why not."""

    instance: Instance
    refusal: Refusal | None


def is_due(wave: Wave, instance: Instance, wall_s: float) -> bool:
    """Tell whether the wave still has to maintain the instance."""
    cadence_s = wave.plan.cadence_s
    if not cadence_s:
        return instance.maintained_at_s < wave.started_at_s
    due_s = instance.maintained_at_s + cadence_s
    return due_s - LEAD_SHARE * cadence_s <= wall_s


def get_due(
    state: MaintenanceState,
    wave: Wave,
    wall_s: float,
    full_pools: Container[str] = (),
) -> list[Instance]:
    """Give what the wave still has to maintain, in its order."""
    pools = {pool for pool in wave.plan.pools if pool not in full_pools}
    due = [
        instance
        for instance in state.instances.values()
        if instance.pool in pools
        and instance.condition is not Condition.set_aside
        and is_due(wave, instance, wall_s)
    ]
    return sorted(due, key=_get_order(wave))


def has_due(state: MaintenanceState, wave: Wave, wall_s: float) -> bool:
    """Tell whether the wave still has to maintain any instance."""
    pools = set(wave.plan.pools)
    return any(
        instance.pool in pools
        and instance.condition is not Condition.set_aside
        and is_due(wave, instance, wall_s)
        for instance in state.instances.values()
    )


def count_active(state: MaintenanceState, wave: str) -> int:
    """Count the steps of a wave that are under way."""
    return sum(
        instance.step is not None and instance.step.wave == wave
        for instance in state.get_stepping()
    )


def judge_wave(
    state: MaintenanceState,
    wave: Wave,
    wall_s: float,
) -> Iterator[Judged]:
    """Judge each due instance in turn, as if those taken had started.

    The caller holds a trial of the ledger.
    """
    room = wave.plan.at_once - count_active(state, wave.plan.name)
    is_paced = wall_s < wave.last_start_s + wave.plan.pace_s
    for instance in get_due(state, wave, wall_s):
        if room <= 0:
            refusal: Refusal | None = Refusal(
                'maintenance.E005',
                f'{wave.plan.at_once} steps at once are under way.',
            )
        elif is_paced:
            refusal = Refusal(
                'maintenance.E006',
                f'The next step starts {wave.plan.pace_s:g} s after the last.',
            )
        else:
            refusal = explain_refusal(state, wave, instance, wall_s)
        if refusal is None:
            state.ledger.take_down(instance)
            room -= 1
            is_paced = wave.plan.pace_s > 0
        yield Judged(instance, refusal)


def explain_refusal(
    state: MaintenanceState,
    wave: Wave,
    instance: Instance,
    wall_s: float,
) -> Refusal | None:
    """Tell why a step of the wave may not start on the instance now."""
    if instance.condition is not Condition.serving:
        return Refusal('maintenance.E007', f'It is {instance.condition}.')
    if wall_s < instance.not_before_s:
        return Refusal(
            'maintenance.E008',
            f'Its last drain got stuck; next try at {instance.not_before_s:g}.',
        )
    if not is_open(wave.plan, instance, wall_s):
        return Refusal('maintenance.E009', 'No maintenance window is open.')
    return state.ledger.explain_refusal(instance)


def choose_steps(
    state: MaintenanceState,
    wall_s: float,
) -> tuple[StepStart, ...]:
    """Choose the steps that may start now, over all running waves.

    An instance that is refused does not hold up those behind it.
    """
    with state.ledger.trial():
        return tuple(_choose(state, wall_s))


def _choose(state: MaintenanceState, wall_s: float) -> Iterable[StepStart]:
    for wave in state.waves.values():
        if wave.status is not WaveStatus.running:
            continue
        # A wave that is full or paced can start nothing whoever is due.
        # Without this, each round would sort the whole fleet for nothing.
        if not _has_room(state, wave, wall_s):
            continue
        for instance in _take(state, wave, wall_s):
            yield StepStart(
                instance.name,
                instance.changed_index,
                StepKind.reboot,
                wave.plan.name,
            )


def _take(
    state: MaintenanceState,
    wave: Wave,
    wall_s: float,
) -> Iterator[Instance]:
    """Take what may start, without a word for each that may not.

    Within one round the account only gets worse, so that what was refused
    for one instance is refused for the next of the same pool and rack.
    """
    refused: set[tuple[str, ...]] = set()
    room = wave.plan.at_once - count_active(state, wave.plan.name)
    full_pools = set(filter(state.ledger.is_full, wave.plan.pools))
    for instance in get_due(state, wave, wall_s, full_pools):
        place = (instance.pool, *get_domain(instance, DomainKind.rack))
        if instance.condition is not Condition.serving or place in refused:
            continue
        if explain_refusal(state, wave, instance, wall_s):
            if wall_s >= instance.not_before_s:
                refused.add(place)
            continue
        state.ledger.take_down(instance)
        yield instance
        room -= 1
        if room <= 0 or wave.plan.pace_s:
            return


def _has_room(state: MaintenanceState, wave: Wave, wall_s: float) -> bool:
    if wall_s < wave.last_start_s + wave.plan.pace_s:
        return False
    return count_active(state, wave.plan.name) < wave.plan.at_once


def _get_order(wave: Wave) -> Callable[[Instance], Any]:
    if wave.plan.order is WaveOrder.deadline:
        return _by_deadline
    if wave.plan.order is WaveOrder.domain:
        return _by_domain
    positions = {pool: at for at, pool in enumerate(wave.plan.pools)}
    return lambda one: (positions[one.pool], _by_deadline(one))


def _by_deadline(instance: Instance) -> Any:
    return (instance.maintained_at_s, instance.name)


def _by_domain(instance: Instance) -> Any:
    path = (instance.region, instance.data_centre, instance.rack)
    return (*path, *_by_deadline(instance))
