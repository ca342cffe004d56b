"""Test maintenance waves and the limits of long-running steps."""

import pytest

from builders.workers import MAINTENANCE_S, ModelFleet, make_step, make_worker
from sardinemast.jobs import MaintenanceStatus, TaskKey, WaveItem
from sardinemast.jobs.commands import (
    CancelJob,
    DeclareWave,
    ForgetWorker,
    NoteUpkeep,
)

_WORKERS = 4
_FAR_MS = 1_000_000
_INSTANCES = tuple(f'm-{number}' for number in range(_WORKERS))


def _start_long_running_step(
    fleet: ModelFleet, task_count: int, max_unavailable: int
) -> None:
    fleet.run(4)
    # One task per worker, so that each can be drained or lost separately.
    step = make_step(
        task_count,
        is_long_running=True,
        max_unavailable=max_unavailable,
        max_per_worker=1,
    )
    fleet.submit('watch', step)
    fleet.run(2)


def _declare_wave(
    fleet: ModelFleet,
    cap: int = _WORKERS,
    names: tuple[str, ...] = _INSTANCES,
) -> None:
    wave = DeclareWave(1, names, cap, fleet.now_ms, fleet.now_ms + _FAR_MS)
    fleet.commit(wave)


def _count_running(fleet: ModelFleet, task_count: int) -> int:
    tasks = [TaskKey('watch', 0, 0, number) for number in range(task_count)]
    return sum(bool(fleet.get_running_workers(task)) for task in tasks)


def test_tasks_of_one_step_are_stopped_in_turn() -> None:
    """Stop one task at a time when all workers of a step are drained.

    A report sent before a stop arrives still lists the stopped task.
    """
    fleet = ModelFleet(_WORKERS)
    _start_long_running_step(fleet, 4, 1)
    for model in fleet.workers.values():
        model.stop_delay_s = 0.4
    for number in range(_WORKERS):
        fleet.drain_worker(number)
    fleet.add_worker(make_worker(8))
    fleet.add_worker(make_worker(9))
    for _ in range(300):
        fleet.run(0.05)
        stopping = sum(len(one.stopping) for one in fleet.workers.values())
        unavailable = 4 - _count_running(fleet, 4)
        assert stopping + unavailable <= 1


def test_stop_is_not_repeated_while_another_task_is_unavailable() -> None:
    """Do not repeat a lost stop after another task of the step has crashed."""
    fleet = ModelFleet(2)
    _start_long_running_step(fleet, 2, 1)
    leaving, other = fleet.workers.values()
    assert leaving.running and other.running
    # A task is stopped only if another worker has room for it; the one that
    # crashes starts there and does not serve yet.
    spare = fleet.add_worker(make_worker(2))
    spare.percent = 20
    fleet.run(1)
    leaving.stop_delay_s = float('inf')
    fleet.drain_worker(0)
    fleet.run(0.2)
    assert _count_stops(fleet) == 1
    other.percent = 20
    other.end(next(iter(other.running)), 'failed')
    fleet.run(3)
    assert _count_stops(fleet) == 1


def test_starting_task_counts_as_serving() -> None:
    """Do not stop a starting task while another one is unavailable.

    Its last report may be outdated, so that it may be serving by now.
    """
    fleet = ModelFleet(2)
    _start_long_running_step(fleet, 2, 1)
    starting, other = fleet.workers.values()
    starting.percent = 20
    fleet.run(2)
    other.is_unreachable = True
    fleet.run(2.2)
    fleet.drain_worker(0)
    fleet.run(1.5)
    assert not _count_stops(fleet)


def test_wave_respects_its_cap() -> None:
    """Take down one instance at a time in a wave with a cap of one."""
    fleet = ModelFleet(_WORKERS)
    _start_long_running_step(fleet, 2, 1)
    _declare_wave(fleet, cap=1)
    fleet.run(0.5)
    assert len(fleet.instances.maintenance_orders) == 1
    fleet.run(3)
    assert len(set(fleet.instances.maintenance_orders)) == 1
    boot_ms = 10
    for _ in range(60):
        fleet.run(0.5)
        down = fleet.instances.maintenance_orders[-1]
        boot_ms += 1
        fleet.replace_worker(down, boot_ms)
    assert set(fleet.instances.maintenance_orders) == {
        f'm-{one}' for one in range(_WORKERS)
    }
    items = fleet.state.waves[1].items
    assert all(item.status is MaintenanceStatus.done for item in items)


def test_wave_waits_for_instance_that_is_down() -> None:
    """Give up an instance only after it has been down for long."""
    fleet = ModelFleet(_WORKERS)
    fleet.instances.refused.add('m-1')
    fleet.instances.down.add('m-1')
    _start_long_running_step(fleet, 2, 1)
    _declare_wave(fleet, names=('m-1',))
    fleet.run(11)
    waiting = [one.instance for one in _list_unfinished(fleet)]
    assert 'm-1' in waiting
    fleet.run(20)
    waiting = [one.instance for one in _list_unfinished(fleet)]
    assert 'm-1' not in waiting


@pytest.mark.parametrize('dark_s', [3, 7, 12])
@pytest.mark.parametrize('back_s', [0.5, 2, 10])
def test_instance_that_is_down_twice_is_not_given_up(
    *, dark_s: float, back_s: float
) -> None:
    """Guard against a wave that is said to be done without an upkeep.

    The instance works between the times that it is down, together longer than
    after which it counts as lost.
    """
    fleet = ModelFleet(_WORKERS)
    _start_long_running_step(fleet, 2, 1)
    fleet.instances.refused.add('m-1')
    _declare_wave(fleet, names=('m-1',))
    for boot_ms in range(10, 16):
        fleet.instances.down.add('m-1')
        fleet.run(dark_s)
        fleet.instances.down.discard('m-1')
        fleet.replace_worker('m-1', boot_ms)
        fleet.run(back_s)
    assert 'm-1' in [one.instance for one in _list_unfinished(fleet)]


def test_instance_that_is_not_looked_at_is_not_given_up() -> None:
    """Guard against an absence that is taken for one over a gap in the lists.

    No worker announces itself in between.
    """
    fleet = ModelFleet(_WORKERS)
    _start_long_running_step(fleet, 2, 1)
    fleet.instances.refused.add('m-1')
    fleet.instances.down.add('m-1')
    _declare_wave(fleet, names=('m-1',))
    fleet.run(8)
    fleet.instances.lost_list_responses = 100
    fleet.run(8)
    fleet.instances.lost_list_responses = 0
    fleet.run(8)
    assert 'm-1' in [one.instance for one in _list_unfinished(fleet)]


def test_instance_that_is_moving_is_not_given_up() -> None:
    """Keep an instance in the wave that refuses but is not down."""
    fleet = ModelFleet(_WORKERS)
    fleet.instances.refused.add('m-1')
    _start_long_running_step(fleet, 2, 1)
    _declare_wave(fleet, names=('m-1',))
    fleet.run(40)
    assert 'm-1' in [one.instance for one in _list_unfinished(fleet)]


def test_wave_waits_for_peak_to_pass() -> None:
    """Defer maintenance while tasks wait for capacity and there is time."""
    fleet = ModelFleet(_WORKERS)
    fleet.run(4)
    fleet.submit('peak', make_step(30))
    fleet.run(0.5)
    _declare_wave(fleet)
    fleet.run(5)
    assert not fleet.instances.maintenance_orders
    for model in fleet.workers.values():
        for task in tuple(model.running):
            model.end(task, 'done')
    fleet.commit(CancelJob('peak'))
    fleet.run(5)
    assert fleet.instances.maintenance_orders


def test_new_leader_drains_worker_before_repeating_order() -> None:
    """Drain a worker again before repeating the order of a failed leader.

    The worker may have got new runs since the order was recorded.
    """
    fleet = ModelFleet(_WORKERS)
    _start_long_running_step(fleet, 4, 1)
    worker = next(one for one in fleet.workers.values() if one.running)
    instance = worker.worker.instance
    fleet.instances.refused.add(instance)
    _declare_wave(fleet, names=(instance,))
    ordered = NoteUpkeep(1, instance, MaintenanceStatus.ordered, 1)
    fleet.commit(ordered)
    fleet.elect()
    for _ in range(400):
        known = len(fleet.instances.maintenance_orders)
        fleet.run(0.05)
        if len(fleet.instances.maintenance_orders) > known:
            assert not worker.running
    assert fleet.instances.maintenance_orders


def test_delayed_announcement_does_not_complete_maintenance() -> None:
    """Ignore an announcement that a worker sent before it was taken down.

    Mistaken for that of the next worker, it would let the wave exceed its cap.
    """
    fleet = ModelFleet(_WORKERS)
    fleet.run(5)
    model = fleet.workers.pop('w-1')
    fleet.commit(ForgetWorker('w-1', model.worker.boot_ms))
    _declare_wave(fleet, cap=1, names=('m-1', 'm-2'))
    fleet.run(0.2)
    assert fleet.instances.maintenance_orders == ['m-1']
    # The maintenance takes long, and no list shows the instance as up.
    fleet.instances.away_until_s['m-1'] = fleet.now_s + 10
    fleet.add_worker(make_worker(1, boot_ms=7))
    fleet.run(3)
    assert fleet.instances.maintenance_orders == ['m-1']


def test_instance_is_not_maintained_during_move() -> None:
    """Wait for the end of a move before ordering maintenance.

    The announcement after the move would be mistaken for the one after the
    maintenance.
    """
    fleet = ModelFleet(1)
    fleet.instances.standby = {'spare'}
    fleet.run(5)
    fleet.submit('peak', make_step(40))
    fleet.run(0.5)
    assert fleet.instances.moves
    _declare_wave(fleet, names=('spare',))
    fleet.run(2)
    assert not fleet.instances.maintenance_orders
    fleet.run(8)
    assert fleet.instances.maintenance_orders


def test_standby_instances_are_maintained_first() -> None:
    """Start all standby instances at once, before a peak needs them."""
    fleet = ModelFleet(_WORKERS)
    spare = tuple(f'spare-{number}' for number in range(6))
    fleet.instances.standby = set(spare)
    fleet.run(5)
    _declare_wave(fleet, cap=8, names=(*_INSTANCES, *spare))
    fleet.run(0.5)
    assert set(spare) <= set(fleet.instances.maintenance_orders)


def test_standby_instance_is_done_when_listed_as_up() -> None:
    """Complete a standby instance as soon as the list shows it as up.

    It has no worker that would announce itself.
    """
    fleet = ModelFleet(0)
    fleet.instances.standby = {'spare-0', 'spare-1'}
    fleet.run(5)
    _declare_wave(fleet, cap=1, names=('spare-0', 'spare-1'))
    fleet.run(MAINTENANCE_S - 0.5)
    assert len(fleet.instances.maintenance_orders) == 1
    fleet.run(3)
    assert len(fleet.instances.maintenance_orders) == 2
    fleet.run(4)
    assert not _list_unfinished(fleet)


def _count_stops(fleet: ModelFleet) -> int:
    return sum(line.startswith('run.stopped') for line in fleet.logged)


def _list_unfinished(fleet: ModelFleet) -> list[WaveItem]:
    items = fleet.state.waves[1].items
    return [one for one in items if one.status is not MaintenanceStatus.done]
