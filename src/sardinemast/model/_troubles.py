"""Trouble of a day: lost racks and leaders; silent, slow, failing workers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from sardinemast.model._instances import ModelInstance
from sardinemast.model._patterns import STANDBY_POOL, Trouble

if TYPE_CHECKING:
    from sardinemast.model._fleet import VirtualFleet

# Lengths and shares as on the users' heaviest days.
_RACK_DARK_S = 7.0
_CUT_S = 6.0
_SICK_S = 5.0
_SICK_SHARE = 0.12
_CRAWL_FACTOR = 8.0
_WAVE_SHARE = 0.44
_CAP_SHARE = 0.39
_CAP_LEAST = 8
_WAVE_S = 25.0
_WAVE_LATEST_S = 3.0
# A lost leader's successor is elected and heard by all within this.
_ELECTION_S = 1.0
# All control processes lose power, start again and elect a leader.
_RESTART_S = 1.5


def plan_troubles(fleet: VirtualFleet) -> None:
    """Plan each of the day's troubles at a moment that the seed picks."""
    # Drawn apart, so that the same trouble meets each policy.
    rng = Random(f'trouble-{fleet.seed}')
    strikes = _list_strikes(fleet, rng)
    for trouble, strike in strikes.items():
        latest_s = fleet.day.length_s - _RACK_DARK_S
        if trouble is Trouble.wave:
            latest_s = _WAVE_LATEST_S
        at_s = rng.uniform(0, latest_s)
        if trouble in fleet.day.troubles:
            fleet.clock.call_at(at_s, strike)


def _list_strikes(
    fleet: VirtualFleet,
    rng: Random,
) -> dict[Trouble, Callable[[], None]]:
    names = sorted(fleet.instances.all)
    due = tuple(rng.sample(names, int(len(names) * _WAVE_SHARE)))
    cap = max(int(len(due) * _CAP_SHARE), _CAP_LEAST)
    dark, cut, slow, failing = (rng.sample(names, len(names)) for _ in range(4))
    return {
        Trouble.wave: lambda: fleet.declare_wave(due, cap, _WAVE_S),
        Trouble.leader_lost: lambda: fleet.lose_leader(_ELECTION_S),
        Trouble.control_restarted: lambda: fleet.restart_control(_RESTART_S),
        Trouble.rack_dark: lambda: _darken_rack(fleet, dark),
        Trouble.workers_cut: lambda: _cut(fleet, cut),
        Trouble.workers_slow: lambda: _sicken(fleet, slow, _make_crawl),
        Trouble.workers_failing: lambda: _sicken(fleet, failing, _make_fail),
    }


def _pick(fleet: VirtualFleet, names: list[str]) -> list[ModelInstance]:
    """Give the first few instances that are on."""
    ordered = [fleet.instances.all[name] for name in names]
    on = [one for one in ordered if one.pool != STANDBY_POOL and one.is_up]
    return on[: max(int(len(on) * _SICK_SHARE), 1)]


def _darken_rack(fleet: VirtualFleet, names: list[str]) -> None:
    rack = _pick(fleet, names)[0].rack
    for instance in fleet.instances.all.values():
        if instance.rack == rack and instance.is_up:
            instance.is_down = True
            fleet.instances.restart(instance, _RACK_DARK_S)
            fleet.clock.call_later(_RACK_DARK_S, instance.note_back)


def _cut(fleet: VirtualFleet, names: list[str]) -> None:
    for instance in _pick(fleet, names):
        model = instance.worker
        if model is not None:
            model.is_dark = True
            fleet.clock.call_later(_CUT_S, model.note_back)


def _sicken(
    fleet: VirtualFleet,
    names: list[str],
    make_sick: Callable[[ModelInstance, bool], None],
) -> None:
    for instance in _pick(fleet, names):
        make_sick(instance, True)
        heal = partial(make_sick, instance, False)
        fleet.clock.call_later(_SICK_S, heal)


def _make_crawl(instance: ModelInstance, is_sick: bool) -> None:
    instance.slowness = _CRAWL_FACTOR if is_sick else 1
    if instance.worker is not None:
        instance.worker.slowness = instance.slowness


def _make_fail(instance: ModelInstance, is_sick: bool) -> None:
    instance.is_failing = is_sick
    if instance.worker is not None:
        instance.worker.is_failing = is_sick
