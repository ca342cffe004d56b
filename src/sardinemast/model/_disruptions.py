"""Disruptions of a day: lost power, lost leaders, impaired workers."""

from __future__ import annotations

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
    rack = _select_active(simulation, names)[0].rack
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
