"""Test workers that restart under their names before they announce it.

A poll finds the new boot first if control was away, or if the announcement is
delayed.
"""

import pytest

from builders.call_leaders import CallLeader
from builders.workers import CORE, MIB, POOL, ModelFleet, make_step, make_worker
from sardinemast import control
from sardinemast.dispatch import (
    OrderOutcome,
    StartAnswered,
    WorkerPolled,
    WorkerReport,
)
from sardinemast.jobs import Size, TaskKey, Worker
from sardinemast.jobs.commands import RegisterWorker
from sardinemast.protocol import AnnounceWorker

_TASK = TaskKey('job', 0, 0, 0)
_LABEL = 'gpu'
_OTHER_POOL = 'pricing'
# Later than the clock of any boot here.
_LATE_CLOCK_MS = 10**9
# Within this a task restarts that ran on a worker that restarted.
_RESTARTED_S = 0.5


def _restart_drained(is_draining_again: bool) -> CallLeader:
    """Let a drained worker restart, found by a poll, and announce itself."""
    leader = CallLeader()
    drained = make_worker(0, is_draining=True)
    leader.call(2, AnnounceWorker(drained, 2))
    report = WorkerReport(2, 1000, (), ())
    polled = WorkerPolled('w-0', 10**9, 0, OrderOutcome.done, report)
    leader.step(polled)
    leader.step(control.ProposalsDue())
    leader.acknowledge()
    restarted = make_worker(0, boot_ms=2, is_draining=is_draining_again)
    leader.call(3, AnnounceWorker(restarted, 1))
    return leader


def _get_worker(leader: CallLeader) -> Worker:
    return leader.core.state.subsystems.jobs.workers['w-0']


@pytest.mark.parametrize('is_draining', [False, True])
def test_worker_is_as_its_own_boot_announced(*, is_draining: bool) -> None:
    """Guard against a worker that gets no work since its last boot drained."""
    worker = _get_worker(_restart_drained(is_draining))
    assert worker.boot_ms == 2
    assert worker.is_draining == is_draining


@pytest.mark.parametrize('is_announced_first', [False, True])
def test_restarted_worker_gets_work_after_all_control_was_away(
    *, is_announced_first: bool
) -> None:
    """Guard against a long-running task with nowhere to run."""
    fleet = ModelFleet(1)
    fleet.run(5)
    fleet.drain_worker(0)
    model = fleet.restart_silently(0)
    fleet.elect()
    if is_announced_first:
        fleet.announce(model)
    fleet.run(1)
    fleet.submit('job', make_step(is_long_running=True))
    fleet.announce(model)
    fleet.run(1)
    assert list(model.running) == [_TASK]


def test_worker_gets_no_runs_by_what_its_last_boot_announced() -> None:
    """Guard against runs where label, size or pool do not allow them."""
    fleet = ModelFleet(1)
    label = fleet.workers['w-0'].worker.labels[0]
    fleet.run(5)
    fleet.restart_silently(
        0, labels=(_LABEL,), capacity=Size(1, MIB), pool=_OTHER_POOL
    )
    fleet.elect()
    fleet.submit('job', make_step(), make_step(required_label=label))
    fleet.run(3)
    assert fleet.started == []
    gauges = fleet.dispatcher.list_gauges()
    assert gauges['workers_withheld'] == {'not_announced': 1}


def test_worker_gets_runs_by_what_its_own_boot_announced() -> None:
    """Guard against a worker whose new size and label are never used."""
    fleet = ModelFleet(1)
    fleet.run(5)
    model = fleet.restart_silently(
        0, labels=(_LABEL,), capacity=Size(8 * CORE, 64 * MIB)
    )
    fleet.elect()
    fleet.submit('job', make_step(8, required_label=_LABEL))
    fleet.run(1)
    fleet.announce(model)
    fleet.run(1)
    assert len(model.running) == 8


def test_delayed_announcement_of_the_last_boot_changes_nothing() -> None:
    """Guard against a restarted worker that is used as what it was."""
    fleet = ModelFleet(1)
    known = fleet.workers['w-0'].worker
    fleet.run(5)
    fleet.restart_silently(0, pool=_OTHER_POOL)
    fleet.elect()
    fleet.run(1)
    fleet.commit(RegisterWorker(known._replace(labels=('b', known.rack))))
    fleet.submit('job', make_step())
    fleet.run(1)
    assert known.pool == POOL
    assert fleet.started == []


def test_start_is_withdrawn_if_a_later_boot_is_found_meanwhile() -> None:
    """Guard against a start that was recorded for the last boot."""
    fleet = ModelFleet(1)
    fleet.run(5)
    fleet.is_held = True
    fleet.submit('job', make_step())
    fleet.run(0.1)
    fleet.restart_silently(0, pool=_OTHER_POOL)
    session = fleet.dispatcher._state.sessions['w-0']
    session.poll_state.must_raise_fence = True
    fleet.run(1)
    fleet.is_held = False
    fleet.commit_held()
    fleet.run(1)
    assert fleet.started == []


def test_task_of_the_last_boot_restarts_elsewhere() -> None:
    """Guard against a task that stays lost until its worker speaks."""
    fleet = ModelFleet(2)
    fleet.run(5)
    fleet.submit('job', make_step())
    fleet.run(2)
    worker = fleet.get_running_workers(_TASK)[0]
    fleet.restart_silently(int(worker[-1]))
    fleet.elect()
    fleet.run(_RESTARTED_S)
    assert len(fleet.get_running_workers(_TASK)) == 1
    assert fleet.get_running_workers(_TASK) != [worker]


def test_answer_to_a_start_of_the_last_boot_sets_no_clock() -> None:
    """Guard against leases by the clock of a boot that has ended.

    The new boot's clock starts anew, so that they would outlast the leader's.
    """
    fleet = ModelFleet(1)
    fleet.run(5)
    fleet.starts_to_lose = 1
    fleet.submit('job', make_step())
    fleet.run(0.05)
    start = fleet.started[0]
    fleet.announce(fleet.restart_silently(0))
    late = StartAnswered(
        'w-0', start.task, start.number, OrderOutcome.done, '', _LATE_CLOCK_MS
    )
    fleet.deliver(late)
    fleet.run(3)
    assert len(fleet.started) > 1
    assert fleet.started[-1].expires_ms < _LATE_CLOCK_MS


def test_answer_to_a_poll_of_the_last_boot_forgets_nothing() -> None:
    """Guard against a worker that is forgotten while it runs tasks.

    Another worker has its former address and answers the poll in flight.
    """
    fleet = ModelFleet(1)
    fleet.run(5)
    fleet.submit('job', make_step())
    fleet.run(2)
    session = fleet.dispatcher._state.sessions['w-0']
    polled = WorkerPolled('w-0', session.fence, fleet.now_s, OrderOutcome.gone)
    fleet.announce(fleet.restart_silently(0, address='10.0.0.9:80'))
    fleet.deliver(polled)
    assert 'w-0' in fleet.state.workers
