"""Test that what was said of a boot of a worker is not read for a later one.

A worker may restart under its name. Its fence, its clock and the positions of
its ends then begin anew, and only the boot time tells the two apart.
"""

import pytest

from builders.workers import ModelFleet, make_step
from sardinemast.dispatch import (
    DispatchSettings,
    OrderOutcome,
    PoolPolicy,
    WorkerPolled,
)
from sardinemast.jobs import MaintenanceStatus, TaskKey
from sardinemast.jobs.commands import (
    CancelJob,
    DeclareWave,
    ForgetWorker,
    RegisterWorker,
)

_WAVE = 1
_FAR_MS = 1_000_000
_TASK = TaskKey('job', 0, 0, 0)
_EARLIER_TASK = TaskKey('earlier', 0, 0, 0)
_CORES = 16
_STEP_S = 0.02
# The order for a planned move follows within these.
_PLANNED_STEPS = 10
_MOVED_BEFORE_S = 60
_SWITCH_OFF = DispatchSettings(pools=PoolPolicy(opening_share=0))
# Longer than any lease and than the wait for its end.
_SETTLED_S = 15.0


def _order_maintenance(fleet: ModelFleet) -> str:
    """Declare a wave and return the instance that is ordered down first."""
    fleet.run(5)
    due_ms = fleet.now_ms + _FAR_MS
    fleet.commit(DeclareWave(_WAVE, ('m-0', 'm-1'), 1, fleet.now_ms, due_ms))
    while not fleet.instances.maintenance_orders:
        fleet.run(0.05)
    return fleet.instances.maintenance_orders[0]


def test_boot_that_an_order_ends_is_not_the_one_after_maintenance() -> None:
    """Guard against a wave that takes down more instances than its cap.

    The worker restarts after the order was sent and before it is executed.
    """
    fleet = ModelFleet(2)
    instance = _order_maintenance(fleet)
    model = fleet.restart_silently(int(instance[-1]))
    fleet.announce(model)
    fleet.run(0.05)
    model.is_unreachable = True
    fleet.run(1.5)
    assert fleet.state.waves[_WAVE].items[0].status is MaintenanceStatus.down
    assert set(fleet.instances.maintenance_orders) == {instance}


def test_new_leader_recognises_the_boot_after_maintenance() -> None:
    """Guard against a wave that waits for an instance that is back."""
    fleet = ModelFleet(2)
    instance = _order_maintenance(fleet)
    fleet.run(0.1)
    fleet.announce(fleet.restart_silently(int(instance[-1])))
    fleet.elect()
    fleet.run(0.5)
    assert fleet.state.waves[_WAVE].items[0].status is MaintenanceStatus.done


def test_end_on_a_later_boot_is_not_acknowledged_unseen() -> None:
    """Guard against a task that starts again after its end was acknowledged.

    The worker restarts, takes a start meant for its last boot, completes the
    run, and drops the end at a poll that acknowledges ends of the last boot.
    """
    fleet = ModelFleet(1)
    fleet.run(5)
    fleet.submit('earlier', make_step())
    fleet.run(0.5)
    fleet.workers['w-0'].end(_EARLIER_TASK, 'done')
    fleet.run(2)
    fleet.submit('job', make_step())
    model = fleet.restart_silently(0)
    fleet.run(0.05)
    model.end(_TASK, 'done')
    fleet.run(1)
    fleet.announce(model)
    fleet.run(_SETTLED_S)
    assert [one.number for one in fleet.started if one.task == _TASK] == [1]


def test_task_restarts_if_the_later_boot_has_an_earlier_boot_time() -> None:
    """Guard against a task that never starts again.

    The clock that the boot time is taken from was set back.
    """
    fleet = ModelFleet(2, boot_ms=5)
    fleet.run(5)
    fleet.submit('job', make_step())
    fleet.run(2)
    model = fleet.restart_silently(int(fleet.get_running_workers(_TASK)[0][-1]))
    model.worker = model.worker._replace(boot_ms=3)
    fleet.run(_SETTLED_S)
    assert len(fleet.get_running_workers(_TASK)) == 1


def test_refused_start_does_not_run_on_a_later_boot() -> None:
    """Guard against two runs of a task at the same time.

    The worker has answered a poll with a higher fence, but its next boot has
    seen no fence and executes a start that arrives late.
    """
    fleet = ModelFleet(2)
    fleet.run(5)
    fleet.starts_to_lose = 1
    fleet.submit('job', make_step())
    fleet.run(2)
    last_boot, start, _ = fleet.undelivered_orders[-1]
    model = fleet.restart_silently(int(last_boot.worker.name[-1]))
    model.carry_out(start, fleet.now_s)
    assert len(fleet.get_running_workers(_TASK)) == 1


def test_best_effort_task_starts_at_full_speed_on_a_later_boot() -> None:
    """Guard against a task that is throttled for a task of the last boot."""
    fleet = ModelFleet(1)
    fleet.run(5)
    service = make_step(is_long_running=True, tail_latency_limit_ms=100)
    fleet.submit('watch', service)
    fleet.submit('earlier', make_step(is_best_effort=True))
    fleet.run(0.2)
    model = fleet.workers['w-0']
    model.reported_gauges[TaskKey('watch', 0, 0, 0)] = 200
    fleet.run(4)
    assert model.speeds_percent[_EARLIER_TASK] == 0
    fleet.commit(CancelJob('watch'))
    fleet.commit(CancelJob('earlier'))
    model = fleet.restart_silently(0)
    fleet.announce(model)
    fleet.submit('job', make_step(is_best_effort=True))
    fleet.run(2)
    assert _TASK in model.running
    assert _TASK not in model.speeds_percent


def test_later_boot_is_not_avoided_for_the_slowness_of_the_last() -> None:
    """Guard against a worker that is kept idle for what its last boot did."""
    fleet = ModelFleet()
    for name in ('earlier', 'job'):
        fleet.run(5)
        fleet.submit(name, make_step(2, estimate_ms=600))
        fleet.run(0.2)
        model = fleet.workers[fleet.started[-1].worker.name]
        model.percent = 1
        fleet.run(3)
        fleet.commit(CancelJob(name))
        fleet.announce(fleet.restart_silently(int(model.worker.name[-1])))
    slow = fleet.list_decisions('worker.slow')
    assert [one.details['avoid_s'] for one in slow] == [2, 2]
    assert slow[0].subject == slow[1].subject


def test_run_that_the_log_has_ended_keeps_others_off_its_worker() -> None:
    """Guard against runs beyond the capacity of a worker.

    A later boot executes a start that was given up; until it is stopped, the
    run uses capacity that is free in the log.
    """
    fleet = ModelFleet(1, cores=1)
    fleet.run(5)
    fleet.starts_to_lose = 1
    fleet.submit('earlier', make_step())
    fleet.run(1)
    fleet.commit(CancelJob('earlier'))
    _, start, _ = fleet.undelivered_orders[-1]
    model = fleet.restart_silently(0)
    model.stop_delay_s = 1
    model.carry_out(start, fleet.now_s)
    fleet.announce(model)
    fleet.submit('job', make_step())
    for _ in range(100):
        fleet.run(0.05)
        assert len(model.running) <= 1
    assert list(model.running) == [_TASK]


def _plan_to_switch_off() -> ModelFleet:
    """Return a fleet with workers that are cordoned for a move.

    Workers are switched off once a pool has had its first peak.
    """
    fleet = ModelFleet(4, _SWITCH_OFF)
    fleet.run(1)
    fleet.submit('earlier', make_step(_CORES))
    fleet.run(3)
    for model in fleet.workers.values():
        for task in tuple(model.running):
            model.end(task, 'done')
    while not fleet.list_decisions('worker.cordoned'):
        fleet.run(_STEP_S, _STEP_S)
        assert fleet.now_s < _MOVED_BEFORE_S
    return fleet


def _restart_cordoned(fleet: ModelFleet) -> None:
    for line in fleet.list_decisions('worker.cordoned'):
        fleet.announce(fleet.restart_silently(int(line.subject[-1])))


def _run_until_moved(fleet: ModelFleet) -> None:
    for _ in range(_PLANNED_STEPS):
        fleet.run(_STEP_S, _STEP_S)
        if fleet.list_decisions('instance.moved'):
            break


def _check_moved_workers_are_unused(fleet: ModelFleet) -> None:
    """Check that a job with a task for each core avoids moved workers."""
    fleet.submit('job', make_step(_CORES))
    moved = fleet.list_decisions('instance.moved')
    used = {one.worker.name for one in fleet.started if one.task.job == 'job'}
    assert used
    assert not used.intersection(line.details['worker'] for line in moved)


def test_later_boot_gets_no_runs_while_its_instance_is_moved() -> None:
    """Guard against runs that the move of an instance ends.

    The worker restarts between the plan for the move and its order.
    """
    fleet = _plan_to_switch_off()
    _restart_cordoned(fleet)
    _run_until_moved(fleet)
    _check_moved_workers_are_unused(fleet)


@pytest.mark.parametrize('steps', range(1, 16))
def test_later_boot_gets_no_runs_after_the_order_to_move(steps: int) -> None:
    """Guard against runs that a move ends which is executed late.

    The worker restarts after the order was sent.
    """
    fleet = _plan_to_switch_off()
    _run_until_moved(fleet)
    fleet._waiting.clear()
    _restart_cordoned(fleet)
    fleet.run(steps * _STEP_S, _STEP_S)
    _check_moved_workers_are_unused(fleet)


@pytest.mark.parametrize('steps', range(10, 50, 5))
def test_later_boot_gets_no_runs_after_the_order_to_maintain(
    steps: int,
) -> None:
    """Guard against runs that maintenance ends which is executed late.

    The worker restarts after the order was sent and before its answer.
    """
    fleet = ModelFleet(2)
    instance = _order_maintenance(fleet)
    fleet._waiting.clear()
    model = fleet.restart_silently(int(instance[-1]))
    fleet.announce(model)
    fleet.run(steps * _STEP_S, _STEP_S)
    fleet.submit('job', make_step(_CORES))
    used = {one.worker.name for one in fleet.started}
    assert used
    assert model.worker.name not in used


def test_late_result_of_a_closed_session_does_not_forget_a_worker() -> None:
    """Guard against a worker that is forgotten right after it registers again.

    A poll to its earlier boot found another worker at the address.
    """
    fleet = ModelFleet(2)
    fleet.run(1)
    name = 'w-0'
    known = fleet.state.workers[name]
    fleet.commit(ForgetWorker(name, known.boot_ms))
    fleet.run(0.1)
    fleet.commit(RegisterWorker(known._replace(boot_ms=known.boot_ms + 1)))
    late = WorkerPolled(name, 1, fleet.now_s, OrderOutcome.gone)
    fleet.deliver(late)
    fleet.run(0.1)
    assert name in fleet.state.workers
