"""Orders for an earlier boot of a worker that reach its later boot.

The clock of the later boot begins anew, so that a lease which ends at a time of
the former clock lasts as long as a worker allows. Then the worker is cut off.
"""

from collections.abc import Callable

import pytest

from builders.model_workers import ModelWorker
from builders.workers import ModelFleet, make_step, make_worker
from sardinemast.dispatch import (
    OrderOutcome,
    PollWorker,
    StartRun,
    StopRun,
    WorkerContested,
)
from sardinemast.jobs import JobStatus, TaskKey
from sardinemast.jobs.commands import CancelJob

_TASK = TaskKey('job', 0, 0, 0)
_OTHER_TASK = TaskKey('other', 0, 0, 0)
# By then the clock of a first boot shows more than the longest lease.
_IDLE_S = 20.0
_STEP_S = 0.05
# How long the later boot answers before it is cut off.
_HEARD_S = 1.5
# After that the result of each order that did not arrive is known.
_TIMED_OUT_S = 2.0
# A worker that may hold a stray lease may be kept idle until it has ended.
_USED_WITHIN_S = 15.0
# Twice the longest lease and the longest delay of an order together.
_WATCHED_S = 30.0

# A lease of 5 s on a clock that is 2% slow, the leader's margin of 0.3 s, and
# how often it looks.
_RESTARTED_WITHIN_S = 5.6

rates = pytest.mark.parametrize('rate', [0.98, 1])


def _make_fleet(rate: float, worker_count: int = 2) -> ModelFleet:
    fleet = ModelFleet(worker_count=0)
    for number in range(worker_count):
        fleet.add_worker(make_worker(number), rate)
    fleet.run(_IDLE_S)
    return fleet


def _send_start(fleet: ModelFleet) -> StartRun:
    """Submit a task and return its start, which is under way."""
    fleet.submit('job', make_step())
    return fleet.started[0]


def _restart(fleet: ModelFleet, start: StartRun) -> ModelWorker:
    """Restart the worker of a start, which has not announced itself yet."""
    return fleet.restart_silently(int(start.worker.name[-1]))


def _start_on_later_boot(fleet: ModelFleet) -> ModelWorker:
    """Let a worker restart while a start is under way, and execute it."""
    later = _restart(fleet, _send_start(fleet))
    fleet.run(_STEP_S)
    assert _TASK in later.running
    return later


def _execute_late(
    fleet: ModelFleet, kind: type[StartRun | StopRun | PollWorker]
) -> tuple[OrderOutcome, object]:
    """Execute the first order of a kind that is under way."""
    late = next(
        one for one in fleet.undelivered_orders if isinstance(one.order, kind)
    )
    outcome, body = fleet.execute_late(late)
    return outcome, body


def _execute_late_renewal(fleet: ModelFleet, later: ModelWorker) -> None:
    """Let a later boot execute a poll that renewed an earlier one's lease."""
    late = next(
        one
        for one in fleet.undelivered_orders
        if isinstance(one.order, PollWorker) and one.order.expires_ms
    )
    assert late.model is not later
    outcome, _ = fleet.execute_late(late)
    assert outcome is OrderOutcome.done


def _lose_renewal(fleet: ModelFleet) -> ModelWorker:
    """Let the only worker crash while a renewal is under way; restart it."""
    fleet.submit('job', make_step())
    fleet.run(_HEARD_S)
    fleet.workers['w-0'].is_unreachable = True
    fleet.run(_TIMED_OUT_S)
    return fleet.restart_silently(0)


def _use_later_boot(
    fleet: ModelFleet, later: ModelWorker, task: TaskKey = _TASK
) -> None:
    """Announce the only worker and run a task on it; then add another one."""
    fleet.announce(later)
    for _ in range(round(_USED_WITHIN_S / _STEP_S)):
        if task not in later.running:
            fleet.run(_STEP_S)
    assert task in later.running
    fleet.add_worker(make_worker(1), later.rate)


def _check_runs_once(
    fleet: ModelFleet, cut_off: ModelWorker, task: TaskKey = _TASK
) -> None:
    """Check that a task runs on one worker at a time, and again in the end."""
    for _ in range(round(_WATCHED_S / _STEP_S)):
        fleet.run(_STEP_S)
        assert len(fleet.get_running_workers(task)) <= 1
    assert fleet.get_running_workers(task) not in ([], [cut_off.worker.name])


@rates
@pytest.mark.parametrize('is_contested', [True, False])
def test_start_taken_by_a_later_boot_that_answers_and_is_cut_off(
    *, rate: float, is_contested: bool
) -> None:
    """Guard against a second run while the stray start's lease lasts."""
    fleet = _make_fleet(rate)
    later = _start_on_later_boot(fleet)
    fleet.announce(later)
    fleet.run(_HEARD_S)
    later.is_unreachable = True
    if is_contested:
        fleet.deliver(WorkerContested(later.worker.name))
    _check_runs_once(fleet, later)


@rates
@pytest.mark.parametrize('is_announced', [True, False])
@pytest.mark.parametrize('is_answered', [True, False])
def test_start_taken_by_a_later_boot_that_is_cut_off_at_once(
    *, rate: float, is_announced: bool, is_answered: bool
) -> None:
    """Guard against a second run beside one of a boot never heard."""
    fleet = _make_fleet(rate)
    later = _restart(fleet, _send_start(fleet))
    later.loses_responses = not is_answered
    fleet.run(_STEP_S)
    assert _TASK in later.running
    if is_announced:
        fleet.announce(later)
    later.is_unreachable = True
    _check_runs_once(fleet, later)


def _lose_leader_heard(fleet: ModelFleet, later: ModelWorker) -> None:
    """Lose the leader; the next one hears the worker before it is cut off."""
    fleet.run(_HEARD_S / 2)
    fleet.elect()
    fleet.run(_HEARD_S / 2)
    later.is_unreachable = True


def _lose_leader_unheard(fleet: ModelFleet, later: ModelWorker) -> None:
    """Lose the leader; the worker is cut off before the next one polls it."""
    fleet.run(_HEARD_S)
    later.is_unreachable = True
    fleet.elect()


def _lose_leader_after_cut(fleet: ModelFleet, later: ModelWorker) -> None:
    """Lose the leader some time after it stops to hear the worker."""
    fleet.run(_HEARD_S)
    later.is_unreachable = True
    fleet.run(1)
    fleet.elect()


@rates
@pytest.mark.parametrize(
    'lose_leader',
    [_lose_leader_heard, _lose_leader_unheard, _lose_leader_after_cut],
)
def test_start_taken_by_a_later_boot_whose_leader_is_lost(
    *, rate: float, lose_leader: Callable[[ModelFleet, ModelWorker], None]
) -> None:
    """Guard against a second run by a leader that did not send the first."""
    fleet = _make_fleet(rate)
    later = _start_on_later_boot(fleet)
    fleet.announce(later)
    lose_leader(fleet, later)
    _check_runs_once(fleet, later)


@rates
@pytest.mark.parametrize('delay_s', [2.0, 4.0])
@pytest.mark.parametrize('is_leader_lost', [True, False])
@pytest.mark.parametrize('is_contested', [True, False])
def test_late_start_taken_by_a_later_boot_that_is_never_heard(
    *, rate: float, delay_s: float, is_leader_lost: bool, is_contested: bool
) -> None:
    """Guard against a second run before a start that is late has ended."""
    fleet = _make_fleet(rate)
    fleet.starts_to_lose = 1
    later = _restart(fleet, _send_start(fleet))
    later.is_unreachable = True
    if is_leader_lost:
        fleet.run(_STEP_S)
        fleet.elect()
    if is_contested:
        fleet.deliver(WorkerContested(later.worker.name))
    fleet.run(delay_s)
    assert _execute_late(fleet, StartRun) == (OrderOutcome.done, '')
    _check_runs_once(fleet, later)


@rates
@pytest.mark.parametrize('is_leader_lost', [True, False])
def test_late_renewal_taken_by_a_later_boot(
    *, rate: float, is_leader_lost: bool
) -> None:
    """Guard against a second run while a renewal for an earlier boot lasts."""
    fleet = _make_fleet(rate, worker_count=1)
    later = _lose_renewal(fleet)
    _execute_late_renewal(fleet, later)
    _use_later_boot(fleet, later)
    if is_leader_lost:
        fleet.elect()
        fleet.run(0.3)
    later.is_unreachable = True
    _check_runs_once(fleet, later)


@rates
def test_start_that_a_later_boot_refuses_as_old(*, rate: float) -> None:
    """Guard against a second run while a refused start extends the lease."""
    fleet = _make_fleet(rate, worker_count=1)
    fleet.starts_to_lose = 1
    _send_start(fleet)
    fleet.workers['w-0'].is_unreachable = True
    fleet.commit(CancelJob('job'))
    fleet.run(_TIMED_OUT_S)
    later = fleet.restart_silently(0)
    _execute_late(fleet, StopRun)
    assert _execute_late(fleet, StartRun) == (OrderOutcome.refused, 'old')
    fleet.submit('other', make_step())
    _use_later_boot(fleet, later, _OTHER_TASK)
    later.is_unreachable = True
    _check_runs_once(fleet, later, _OTHER_TASK)


@rates
def test_start_for_which_a_later_boot_lacks_room(*, rate: float) -> None:
    """Guard against a second run while a refused start extends the lease."""
    fleet = _make_fleet(rate, worker_count=1)
    fleet.starts_to_lose = 1
    later = _restart(fleet, _send_start(fleet))
    later.is_full = True
    assert _execute_late(fleet, StartRun) == (OrderOutcome.refused, 'room')
    later.is_full = False
    _use_later_boot(fleet, later)
    later.is_unreachable = True
    _check_runs_once(fleet, later)


@rates
def test_late_renewal_taken_by_a_later_boot_of_a_forgotten_worker(
    *, rate: float
) -> None:
    """Guard against a forgotten worker whose name starts without a past."""
    fleet = _make_fleet(rate, worker_count=1)
    fleet.workers['w-0'].is_unreachable = True
    fleet.deliver(WorkerContested('w-0'))
    fleet.run(_TIMED_OUT_S)
    assert 'w-0' not in fleet.state.workers
    later = fleet.restart_silently(0)
    _execute_late_renewal(fleet, later)
    fleet.submit('job', make_step())
    _use_later_boot(fleet, later)
    later.is_unreachable = True
    _check_runs_once(fleet, later)


@rates
def test_later_boot_is_forgotten_and_registers_again(*, rate: float) -> None:
    """Guard against a boot whose possible lease is forgotten with it."""
    fleet = _make_fleet(rate, worker_count=1)
    later = _lose_renewal(fleet)
    fleet.commit(CancelJob('job'))
    _execute_late_renewal(fleet, later)
    fleet.announce(later)
    fleet.run(0.5)
    later.is_unreachable = True
    fleet.deliver(WorkerContested('w-0'))
    fleet.run(1)
    assert 'w-0' not in fleet.state.workers
    later.is_unreachable = False
    fleet.submit('other', make_step())
    _use_later_boot(fleet, later, _OTHER_TASK)
    later.is_unreachable = True
    _check_runs_once(fleet, later, _OTHER_TASK)


@rates
@pytest.mark.parametrize('is_restarted', [True, False])
def test_confirmed_run_restarts_elsewhere_after_an_ordinary_lease(
    *, rate: float, is_restarted: bool
) -> None:
    """Guard against tasks that wait for a lease that no stray order gave."""
    fleet = _make_fleet(rate)
    if is_restarted:
        for number in range(2):
            fleet.announce(fleet.restart_silently(number))
        fleet.run(_IDLE_S)
    start = _send_start(fleet)
    fleet.run(_HEARD_S)
    cut_off = fleet.workers[start.worker.name]
    cut_off.is_unreachable = True
    cut_s = fleet.now_s
    while len(fleet.started) < 2:
        fleet.run(_STEP_S)
        assert fleet.now_s <= cut_s + _RESTARTED_WITHIN_S
    _check_runs_once(fleet, cut_off)


@rates
def test_end_of_a_later_boot_outlasts_polls_for_the_earlier_one(
    *, rate: float
) -> None:
    """Guard against a second run after an end that only its worker has seen.

    The earlier boot had listed an end of the same number.
    """
    fleet = _make_fleet(rate, worker_count=1)
    fleet.submit('other', make_step())
    fleet.run(_HEARD_S)
    fleet.workers['w-0'].end(_OTHER_TASK, 'done')
    fleet.run(_HEARD_S)
    later = _start_on_later_boot(fleet)
    later.loses_responses = True
    later.end(_TASK, 'done')
    fleet.run(_HEARD_S)
    later.loses_responses = False
    fleet.announce(later)
    fleet.run(_HEARD_S)
    assert fleet.state.jobs['job'].status is JobStatus.done
    assert len(fleet.started) == 2


@rates
def test_late_renewal_of_a_stray_run_whose_start_was_answered(
    *, rate: float
) -> None:
    """Guard against a second run while a late poll extends a stray lease.

    The poll was sent before its leader knew of the later boot.
    """
    fleet = _make_fleet(rate)
    later = _start_on_later_boot(fleet)
    later.is_unreachable = True
    fleet.run(_TIMED_OUT_S)
    outcome, _ = _execute_late(fleet, PollWorker)
    assert outcome is OrderOutcome.done
    _check_runs_once(fleet, later)
