"""Test leases, fencing of late orders, and changes of leader."""

import pytest

from builders.workers import POOL, ModelFleet, make_step, make_worker
from sardinemast.dispatch import DispatchSettings, OrderOutcome, StartRun
from sardinemast.jobs import JobStatus, TaskKey
from sardinemast.jobs.commands import RecordRuns

TASK = TaskKey('job', 0, 0, 0)
_LEASE_S = DispatchSettings().lease_ms / 1000
# A start that is 5 s late, a lease of 10 s on a slow clock, and a margin.
_LATE_LEASE_S = 16


def _start_one(fleet: ModelFleet) -> str:
    fleet.run(0.5)
    fleet.submit('job', make_step())
    fleet.run(0.5)
    return fleet.get_running_workers(TASK)[0]


def test_task_restarts_elsewhere_only_after_lease_expires() -> None:
    """Never run a task twice while a silent worker may still run it."""
    fleet = ModelFleet()
    worker = _start_one(fleet)
    fleet.workers[worker].is_unreachable = True
    for _ in range(200):
        fleet.run(0.05)
        assert len(fleet.get_running_workers(TASK)) <= 1
    assert len(fleet.get_running_workers(TASK)) == 1
    assert fleet.get_running_workers(TASK) != [worker]


def test_unanswered_polls_do_not_extend_lease() -> None:
    """Let the lease expire although the leader keeps polling the worker."""
    fleet = ModelFleet()
    worker = _start_one(fleet)
    fleet.workers[worker].is_unreachable = True
    fleet.run(_LEASE_S + 3)
    assert fleet.get_running_workers(TASK) not in ([], [worker])


def test_lease_allows_for_slow_worker_clock() -> None:
    """Never run a task twice when a worker's clock is 2 % slow.

    Its lease lasts longer in true time, and its answers are lost.
    """
    fleet = ModelFleet(worker_count=1)
    fleet.add_worker(make_worker(1), rate=0.98)
    fleet.run(0.5)
    fleet.submit('job', make_step(2))
    fleet.run(0.5)
    slow = fleet.workers['w-1']
    fleet.run(30)
    slow.loses_responses = True
    for _ in range(200):
        fleet.run(0.05)
        for position in range(2):
            task = TASK._replace(position=position)
            assert len(fleet.get_running_workers(task)) <= 1


def test_worker_refuses_late_start() -> None:
    """Refuse a delayed start whose task has been restarted elsewhere."""
    fleet = ModelFleet()
    fleet.run(0.5)
    for model in fleet.workers.values():
        model.is_unreachable = True
    fleet.submit('job', make_step())
    fleet.run(1.5)
    for model in fleet.workers.values():
        model.is_unreachable = False
    fleet.run(8)
    assert len(fleet.get_running_workers(TASK)) == 1
    late_starts = 0
    for model, order, _ in fleet.undelivered_orders:
        outcome, _ = model.carry_out(order, fleet.now_s)
        if isinstance(order, StartRun):
            late_starts += 1
            assert outcome is OrderOutcome.refused
    assert late_starts
    assert len(fleet.get_running_workers(TASK)) == 1


def test_end_is_acknowledged_only_after_it_is_recorded() -> None:
    """Run a finished task only once when the leader fails before recording it.

    The worker must keep the end until it is recorded.
    """
    fleet = ModelFleet()
    worker = _start_one(fleet)
    fleet.submit('other', make_step())
    fleet.run(0.5)
    fleet.is_held = True
    model = fleet.workers[worker]
    fleet.workers[worker].end(TASK, 'done')
    fleet.run(3)
    assert model.ends
    fleet.elect()
    fleet.is_held = False
    fleet.run(3)
    assert fleet.state.jobs['job'].status is JobStatus.done
    starts = [one for one in fleet.started if one.task == TASK]
    assert len(starts) == 1


def test_ends_reported_during_a_proposal_are_not_acknowledged() -> None:
    """Keep an end that is reported while another one is being recorded.

    Acknowledged too early, it would be lost with the leader.
    """
    fleet = ModelFleet()
    fleet.run(0.5)
    fleet.submit('job', make_step(8))
    fleet.run(0.5)
    first, second = fleet.workers.values()
    fleet.is_held = True
    first.end(next(iter(first.running)), 'done')
    fleet.run(0.1)
    second.end(next(iter(second.running)), 'done')
    fleet.run(0.1)
    fleet.commit(fleet.proposed.popleft())
    fleet.run(0.1)
    assert second.ends
    assert not first.ends


def test_new_worker_is_not_removed_before_first_poll() -> None:
    """Keep a worker that registers late in a term and has not answered yet."""
    fleet = ModelFleet(worker_count=1)
    fleet.run(40)
    fleet.add_worker(make_worker(7))
    fleet.run(5)
    assert 'worker.gone w-7' not in fleet.logged
    assert fleet.state.workers['w-7'].pool == POOL


def test_new_leader_adopts_running_tasks() -> None:
    """Keep a run going when the leader fails, instead of starting another."""
    fleet = ModelFleet()
    worker = _start_one(fleet)
    fleet.run(1)
    fleet.elect()
    fleet.run(10)
    assert fleet.get_running_workers(TASK) == [worker]
    assert len(fleet.started) == 1


def test_new_leader_restarts_run_that_was_never_sent() -> None:
    """Restart a run that the failed leader recorded but never sent."""
    fleet = ModelFleet()
    fleet.run(0.5)
    fleet.is_held = True
    fleet.submit('job', make_step())
    fleet.run(0.1)
    command = fleet.proposed.popleft()
    assert isinstance(command, RecordRuns)
    fleet.elect()
    fleet.commit(command)
    assert not fleet.get_running_workers(TASK)
    fleet.is_held = False
    fleet.run(2)
    assert len(fleet.get_running_workers(TASK)) == 1


def test_draining_worker_gets_no_new_runs() -> None:
    """Start no run on a worker that is about to shut down."""
    fleet = ModelFleet()
    fleet.run(0.5)
    fleet.commit_held()
    fleet.add_worker(make_worker(0, is_draining=True))
    fleet.submit('job', make_step(4))
    fleet.run(1)
    assert {one.worker.name for one in fleet.started} == {'w-1'}


def test_reported_success_outlasts_the_lease_of_a_stalled_log() -> None:
    """Guard against a task that runs again although its success was reported.

    The worker answers just before its lease expires. The log is stalled with
    another command, so that the success is not recorded by then.
    """
    fleet = ModelFleet()
    worker = _start_one(fleet)
    model = fleet.workers[worker]
    model.is_unreachable = True
    model.end(TASK, 'done')
    fleet.run(_LEASE_S - 1)
    fleet.is_held = True
    fleet.submit('other', make_step())
    fleet.run(0.1)
    model.is_unreachable = False
    fleet.run(3)
    fleet.is_held = False
    fleet.commit_held()
    fleet.run(1)
    assert fleet.state.jobs['job'].status is JobStatus.done
    assert not fleet.get_running_workers(TASK)


@pytest.mark.parametrize('announces_clocks', [True, False])
@pytest.mark.parametrize('idle_s', [12, 29, 92, 300])
@pytest.mark.parametrize('rate', [0.98, 1])
@pytest.mark.parametrize(
    ('run_s', 'ends_within_s'),
    # The next leader cannot know whether a recent start came late, or reached a
    # later boot of the worker.
    [(0.05, _LATE_LEASE_S), (_LATE_LEASE_S, _LEASE_S + 1)],
)
def test_lease_of_an_idle_worker_outlasts_no_leader(
    *,
    announces_clocks: bool,
    idle_s: int,
    rate: float,
    run_s: float,
    ends_within_s: float,
) -> None:
    """Guard against a second run since a lease named an old clock reading.

    The worker is cut off, and its leader is lost, some time after the start.
    """
    fleet = ModelFleet(worker_count=0)
    fleet.announces_clocks = announces_clocks
    for number in range(2):
        fleet.add_worker(make_worker(number), rate)
    fleet.run(idle_s)
    worker = _start_one(fleet)
    fleet.run(run_s - 0.05)
    fleet.workers[worker].is_unreachable = True
    fleet.run(0.05)
    fleet.elect()
    counts = []
    for _ in range(round(ends_within_s / 0.05)):
        fleet.run(0.05)
        counts.append(len(fleet.get_running_workers(TASK)))
    assert max(counts) == 1
    assert fleet.get_running_workers(TASK) not in ([], [worker])


@pytest.mark.parametrize('announces_clocks', [True, False])
@pytest.mark.parametrize('idle_s', [29, 600])
@pytest.mark.parametrize('rate', [0.98, 1])
def test_start_on_an_idle_worker_names_most_of_a_lease_and_no_more(
    *, announces_clocks: bool, idle_s: int, rate: float
) -> None:
    """Guard against leases that are too short to start, or outlast a leader."""
    fleet = ModelFleet(worker_count=0)
    fleet.announces_clocks = announces_clocks
    fleet.add_worker(make_worker(0), rate)
    fleet.run(idle_s)
    fleet.submit('job', make_step())
    fleet.run(0.05)
    model = fleet.workers['w-0']
    left_ms = fleet.started[0].expires_ms - model.get_clock_ms(fleet.now_s)
    assert _LEASE_S * 1000 * 3 / 4 < left_ms <= _LEASE_S * 1000


def test_announcement_of_an_earlier_boot_tells_no_clock() -> None:
    """Guard against a lease by the clock that a worker had before it restarted.

    That clock may show hours more.
    """
    fleet = ModelFleet(worker_count=1)
    fleet.run(5)
    model = fleet.restart_silently(0)
    fleet.elect()
    fleet.run(0.5)
    fleet.dispatcher.record_announcement('w-0', 10**9, fleet.now_s)
    fleet.announce(model)
    fleet.run(0.5)
    fleet.submit('job', make_step())
    fleet.run(0.05)
    left_ms = fleet.started[0].expires_ms - model.get_clock_ms(fleet.now_s)
    assert left_ms <= _LEASE_S * 1000
