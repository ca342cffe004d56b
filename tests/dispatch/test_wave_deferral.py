"""Test that a wave that is put off keeps no worker from its tasks."""

from builders.instance_fleets import InstanceFleet
from builders.long_running import RoomObserver
from builders.workers import POOL, make_step
from sardinemast.jobs.commands import DeclareWave

_WORKERS = 4
_CORES = 4
_INSTANCES = tuple(f'm-{number}' for number in range(_WORKERS))


def _declare_wave(fleet: InstanceFleet, cap: int, due_s: float) -> None:
    due_ms = fleet.now_ms + int(due_s * 1000)
    fleet.commit(DeclareWave(1, _INSTANCES, cap, fleet.now_ms, due_ms))


def _make_fleet(free_cores: int, max_unavailable: int) -> InstanceFleet:
    """Return a fleet whose long-running tasks leave a few cores."""
    fleet = InstanceFleet(_WORKERS)
    fleet.run(4)
    step = make_step(
        _WORKERS * _CORES - free_cores,
        is_long_running=True,
        max_unavailable=max_unavailable,
    )
    fleet.submit('watch', step)
    fleet.run(2)
    return fleet


def test_wave_that_drained_a_worker_is_not_deferred() -> None:
    """A drained worker stayed cordoned, since its own tasks lacked capacity."""
    # All but three cores are taken, so that a drained task finds no other room.
    fleet = _make_fleet(3, max_unavailable=2)
    _declare_wave(fleet, 2, 40)
    observer = RoomObserver(fleet)
    observer.run(45)
    assert not observer.list_overdue()


def test_instance_is_brought_in_for_tasks_that_must_leave() -> None:
    """A wave waited to its end for room in a pool that requested none."""
    fleet = _make_fleet(1, max_unavailable=1)
    fleet.instances.standby = {'spare'}
    _declare_wave(fleet, 1, 1000)
    fleet.run(20)
    assert fleet.instances.maintenance_orders
    assert any(move.pool == POOL for move in fleet.instances.moves)
