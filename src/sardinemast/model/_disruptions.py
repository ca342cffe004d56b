"""Disruptions of a day: lost power, lost leaders, impaired workers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from sardinemast.model._instances import SimulatedInstance
from sardinemast.model._workload import STANDBY_POOL, Disruption

if TYPE_CHECKING:
    from sardinemast.model._simulation import FleetSimulation

_POWER_LOSS_S = 7.0
_UNREACHABLE_S = 6.0
_IMPAIRED_S = 5.0
_AFFECTED_SHARE = 0.12
_SLOWNESS = 8.0
_WAVE_SHARE = 0.44
_CAP_SHARE = 0.39
_CAP_MIN = 8
_WAVE_DURATION_S = 25.0
_LATEST_WAVE_START_S = 3.0
# Time until a successor of the lost leader leads.
_ELECTION_S = 1.0
# Time until all control processes have restarted and elected a leader.
_CONTROL_RESTART_S = 1.5


# How long after the start of a peak a rack of its pool loses power.
_PEAK_LOSS_DELAY_MAX_S = 1.0


def schedule_disruptions(simulation: FleetSimulation) -> None:
    """Schedule each of the day's disruptions at a random time."""
    # A generator of its own gives the same disruptions under each policy.
    rng = Random(f'trouble-{simulation.seed}')
    actions = _list_actions(simulation, rng)
    for disruption, action in actions.items():
        latest_s = simulation.day.duration_s - _POWER_LOSS_S
        if disruption is Disruption.wave:
            latest_s = _LATEST_WAVE_START_S
        at_s = rng.uniform(0, latest_s)
        if disruption is Disruption.peaking_rack_lost:
            at_s = _draw_peak_loss_s(simulation, rng)
        if disruption in simulation.day.disruptions:
            simulation.clock.call_at(at_s, action)


def _list_actions(
    simulation: FleetSimulation,
    rng: Random,
) -> dict[Disruption, Callable[[], None]]:
    names = sorted(simulation.instances.by_name)
    due = tuple(rng.sample(names, int(len(names) * _WAVE_SHARE)))
    cap = max(int(len(due) * _CAP_SHARE), _CAP_MIN)
    unpowered, unreachable, slow, failing = (
        rng.sample(names, len(names)) for _ in range(4)
    )
    return {
        Disruption.wave: (
            lambda: simulation.declare_wave(due, cap, _WAVE_DURATION_S)
        ),
        Disruption.leader_lost: lambda: simulation.lose_leader(_ELECTION_S),
        Disruption.control_restarted: (
            lambda: simulation.restart_control(_CONTROL_RESTART_S)
        ),
        Disruption.rack_power_lost: (
            lambda: _cut_rack_power(simulation, unpowered)
        ),
        Disruption.workers_unreachable: (
            lambda: _disconnect_workers(simulation, unreachable)
        ),
        Disruption.workers_slow: lambda: _impair(simulation, slow, _set_slow),
        Disruption.workers_failing: (
            lambda: _impair(simulation, failing, _set_failing)
        ),
        Disruption.peaking_rack_lost: (
            lambda: _cut_peaking_rack_power(simulation)
        ),
    }


def _select_active(
    simulation: FleetSimulation,
    names: list[str],
) -> list[SimulatedInstance]:
    """Return the first named instances that are up and not on standby."""
    ordered = [simulation.instances.by_name[name] for name in names]
    active = [one for one in ordered if one.pool != STANDBY_POOL and one.is_up]
    return active[: max(int(len(active) * _AFFECTED_SHARE), 1)]


def _cut_rack_power(simulation: FleetSimulation, names: list[str]) -> None:
    _cut_power(simulation, _select_active(simulation, names)[0].rack)


def _draw_peak_loss_s(simulation: FleetSimulation, rng: Random) -> float:
    """Return a time shortly after the start of a random peak."""
    day = simulation.day
    starts_s = [
        start_s
        for start_s in _list_peak_starts_s(simulation)
        if 0 <= start_s <= day.duration_s - _POWER_LOSS_S
    ]
    return rng.choice(starts_s) + rng.uniform(0, _PEAK_LOSS_DELAY_MAX_S)


def _list_peak_starts_s(simulation: FleetSimulation) -> list[float]:
    interval_s = simulation.day.peak_interval_s
    first_s = simulation.peak_offset_s % interval_s
    count = int(simulation.day.duration_s / interval_s) + 1
    return [first_s + index * interval_s for index in range(count)]


def _cut_peaking_rack_power(simulation: FleetSimulation) -> None:
    """Cut the rack with the most active instances of the peaking pool."""
    day = simulation.day
    since_s = simulation.clock.now_s - simulation.peak_offset_s
    index = int(since_s // day.peak_interval_s) % len(day.queues)
    racks = Counter(
        instance.rack
        for instance in simulation.instances.by_name.values()
        if instance.pool == day.queues[index].pool and instance.is_up
    )
    _cut_power(simulation, racks.most_common(1)[0][0])


def _cut_power(simulation: FleetSimulation, rack: str) -> None:
    lost = [
        one.worker.registration.name
        for one in simulation.instances.by_name.values()
        if one.rack == rack and one.worker is not None
    ]
    tasks = [task for name in lost for task in simulation.state.runs[name]]
    simulation.lost_racks.record_loss(lost, tasks, simulation.clock.now_s)
    for instance in simulation.instances.by_name.values():
        if instance.rack == rack and instance.is_up:
            instance.is_down = True
            simulation.instances.restart(instance, _POWER_LOSS_S)
            simulation.clock.call_later(_POWER_LOSS_S, instance.restore_power)


def _disconnect_workers(simulation: FleetSimulation, names: list[str]) -> None:
    for instance in _select_active(simulation, names):
        worker = instance.worker
        if worker is not None:
            worker.is_unreachable = True
            simulation.clock.call_later(_UNREACHABLE_S, worker.mark_reachable)


def _impair(
    simulation: FleetSimulation,
    names: list[str],
    set_impaired: Callable[[SimulatedInstance, bool], None],
) -> None:
    for instance in _select_active(simulation, names):
        set_impaired(instance, True)
        recover = partial(set_impaired, instance, False)
        simulation.clock.call_later(_IMPAIRED_S, recover)


def _set_slow(instance: SimulatedInstance, is_slow: bool) -> None:
    instance.slowness = _SLOWNESS if is_slow else 1
    if instance.worker is not None:
        instance.worker.slowness = instance.slowness


def _set_failing(instance: SimulatedInstance, is_failing: bool) -> None:
    instance.is_failing = is_failing
    if instance.worker is not None:
        instance.worker.is_failing = is_failing
