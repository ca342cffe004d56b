"""Orders of an earlier boot that reach a later one, as found in a review."""

from builders.model_workers import ModelWorker
from builders.workers import ModelFleet, make_step, make_worker
from sardinemast.dispatch import OrderOutcome, PollWorker, StartRun
from sardinemast.jobs import TaskKey
from sardinemast.jobs.commands import CancelJob

_TASK = TaskKey('job', 0, 0, 0)
_OTHER_TASK = TaskKey('other', 0, 0, 0)
# By then the clock of a first boot shows more than the longest lease.
_IDLE_S = 20.0
_STEP_S = 0.05
_TIMED_OUT_S = 2.0
_AVOIDED_S = 1.85
_LATE_S = 4.0
_WATCHED_S = 30.0
# How much higher than at the first boot the clock of a later boot begins.
_CLOCK_AHEAD_S = 5.0
# Further than a worker's age beyond which no earlier order counts, 20.5 s.
_SET_BACK_MS = 30_000
# A lasting task runs again within 6 s of its last run, and 3 s more.
_RESTARTED_WITHIN_S = 9.0


def _make_fleet() -> ModelFleet:
    fleet = ModelFleet(worker_count=1)
    fleet.run(_IDLE_S)
    return fleet


def _execute_late_renewal(fleet: ModelFleet, before_s: float) -> None:
    """Execute the last poll under way that renews a lease."""
    late = max(
        (
            one
            for one in fleet.undelivered_orders
            if isinstance(one.order, PollWorker)
            and one.order.expires_ms
            and one.sent_s < before_s
        ),
        key=lambda one: one.sent_s,
    )
    assert fleet.now_s <= late.sent_s + _LATE_S + _STEP_S
    outcome, _ = fleet.execute_late(late)
    assert outcome is OrderOutcome.done


def _cut_off(fleet: ModelFleet, model: ModelWorker) -> None:
    """Cut off the only worker for good and add another one."""
    model.is_unreachable = True
    fleet.add_worker(make_worker(1))


def _check_runs_once(fleet: ModelFleet, task: TaskKey = _TASK) -> None:
    for _ in range(round(_WATCHED_S / _STEP_S)):
        fleet.run(_STEP_S)
        assert len(fleet.get_running_workers(task)) <= 1


def test_late_renewal_after_a_confirmed_start() -> None:
    """Guard against a second run while a renewal sent before it lasts."""
    fleet = _make_fleet()
    fleet.submit('other', make_step())
    fleet.run(1.5)
    later = fleet.restart_silently(0)
    started_s = fleet.now_s
    fleet.submit('job', make_step())
    fleet.run(_STEP_S)
    assert _TASK in later.running
    _cut_off(fleet, later)
    fleet.run(_LATE_S - 1)
    _execute_late_renewal(fleet, started_s)
    _check_runs_once(fleet)


def test_confirmed_start_on_a_boot_whose_clock_begins_higher() -> None:
    """Guard against a second run while a renewal of an older boot lasts."""
    fleet = _make_fleet()
    fleet.submit('other', make_step())
    fleet.run(1.5)
    fleet.commit(CancelJob('other'))
    second = fleet.restart_silently(0)
    second.is_unreachable = True
    fleet.run(1)
    second.is_unreachable = False
    fleet.announce(second)
    fleet.run(_LATE_S - 1.5)
    third = fleet.restart_silently(0)
    third._booted_s -= _CLOCK_AHEAD_S
    _execute_late_renewal(fleet, fleet.now_s)
    fleet.submit('job', make_step())
    fleet.run(_STEP_S)
    assert _TASK in third.running
    _cut_off(fleet, third)
    _check_runs_once(fleet)


def test_late_start_of_another_task_extends_the_lease() -> None:
    """Guard against a new leader that ignores later starts on the worker."""
    fleet = _make_fleet()
    fleet.submit('job', make_step())
    later = fleet.restart_silently(0)
    later.loses_responses = True
    # The worker is avoided for so long, but not withheld as silent yet.
    fleet.run(_AVOIDED_S)
    assert _TASK in later.running
    fleet.starts_to_lose = 1
    fleet.submit('third', make_step())
    late = fleet.undelivered_orders[-1]
    assert isinstance(late.order, StartRun)
    _cut_off(fleet, later)
    fleet.elect()
    fleet.run(_LATE_S)
    assert fleet.execute_late(late) == (OrderOutcome.done, '')
    _check_runs_once(fleet)


def test_end_is_not_acknowledged_by_a_poll_under_way() -> None:
    """Guard against a task that starts again after its end was acknowledged."""
    fleet = _make_fleet()
    fleet.submit('long', make_step())
    fleet.submit('other', make_step())
    fleet.run(1.5)
    fleet.workers['w-0'].end(_OTHER_TASK, 'done')
    while 'other' in fleet.state.live:
        fleet.run(_STEP_S)
    later = fleet.restart_silently(0)
    fleet.submit('job', make_step())
    fleet.run(_STEP_S)
    assert _TASK in later.running
    later.end(_TASK, 'done')
    fleet.run(1)
    fleet.announce(later)
    fleet.run(_IDLE_S)
    assert [one.number for one in fleet.started if one.task == _TASK] == [1]


def test_end_on_a_worker_that_becomes_idle_is_acknowledged() -> None:
    """Guard against a position that is kept until a later boot has a run."""
    fleet = _make_fleet()
    fleet.submit('job', make_step())
    fleet.run(1.5)
    fleet.workers['w-0'].end(_TASK, 'done')
    fleet.run(_TIMED_OUT_S)
    assert 'job' not in fleet.state.live
    assert fleet.workers['w-0'].acknowledged == {_TASK}


def test_lasting_task_of_a_new_worker_restarts_in_time() -> None:
    """Guard against a task that waits for a lease that no order can grant."""
    fleet = ModelFleet(worker_count=0)
    fleet.run(_IDLE_S)
    model = fleet.add_worker(make_worker(0, boot_ms=fleet.now_ms))
    fleet.run(0.3)
    fleet.submit('job', make_step(is_long_running=True))
    fleet.run(0.3)
    assert _TASK in model.running
    _cut_off(fleet, model)
    fleet.run(_RESTARTED_WITHIN_S)
    assert fleet.get_running_workers(_TASK) == ['w-1']


def test_lasting_task_restarts_in_time_after_control_restarts() -> None:
    """Guard against a task that waits because its start time is unknown."""
    fleet = ModelFleet(worker_count=1)
    fleet.submit('job', make_step(is_long_running=True))
    fleet.run(60)
    assert _TASK in fleet.workers['w-0'].running
    # The follower restores a snapshot and is elected soon after.
    fleet.elect()
    fleet.run(0.5)
    _cut_off(fleet, fleet.workers['w-0'])
    fleet.elect()
    fleet.run(_RESTARTED_WITHIN_S)
    assert fleet.get_running_workers(_TASK) == ['w-1']


def test_late_renewal_on_a_boot_whose_wall_clock_was_set_back() -> None:
    """Guard against a second run while a renewal of an earlier boot lasts."""
    fleet = _make_fleet()
    fleet.submit('other', make_step())
    fleet.run(1.5)
    fleet.workers['w-0'].is_unreachable = True
    fleet.run(1.5)
    fleet.commit(CancelJob('other'))
    later = fleet.restart_silently(0)
    boot_ms = fleet.now_ms - _SET_BACK_MS
    later.worker = later.worker._replace(boot_ms=boot_ms)
    _execute_late_renewal(fleet, fleet.now_s)
    fleet.announce(later)
    fleet.run(1)
    fleet.submit('job', make_step())
    fleet.run(0.3)
    assert _TASK in later.running
    _cut_off(fleet, later)
    _check_runs_once(fleet)


def test_boot_with_an_earlier_time_gets_runs_beside_a_lasting_one() -> None:
    """Guard against a worker that gets no runs while a task lasts."""
    fleet = ModelFleet(worker_count=1, boot_ms=5)
    fleet.run(_IDLE_S)
    fleet.submit('job', make_step(is_long_running=True))
    later = fleet.restart_silently(0)
    later.worker = later.worker._replace(boot_ms=3)
    fleet.run(_STEP_S)
    assert _TASK in later.running
    fleet.run(_TIMED_OUT_S)
    fleet.submit('other', make_step())
    for _ in range(round(_WATCHED_S)):
        fleet.announce(later)
        fleet.run(1)
    assert _OTHER_TASK in later.running


def test_restart_does_not_keep_runs_that_have_ended() -> None:
    """Guard against memory that grows with each run of an earlier boot."""
    fleet = _make_fleet()
    for number in range(10):
        fleet.submit(f'job-{number}', make_step())
        fleet.run(0.2)
        fleet.workers['w-0'].end(TaskKey(f'job-{number}', 0, 0, 0), 'done')
        fleet.run(0.2)
    fleet.announce(fleet.restart_silently(0))
    fleet.run(1)
    assert not fleet.state.runs.get('w-0')
    assert not fleet.dispatcher._state.sessions['w-0']._earlier_runs
