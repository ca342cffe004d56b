"""Test which runs give way, when, and what happens on failure."""

import pytest

from builders.preemption import (
    LOW_QUEUE,
    POLICY,
    URGENT,
    count_preempted,
    count_running,
    make_long_running,
    start_full_fleet,
    submit_urgent,
)
from builders.workers import CORE, MIB, QUEUE, TEAM, ModelFleet, make_step
from sardinemast.dispatch._preemption import (
    Candidate,
    Demand,
    Loss,
    choose_victims,
)
from sardinemast.jobs import JobRequest, Size
from sardinemast.jobs.commands import CancelJob, PreemptRuns, SubmitJob
from sardinemast.platform._reports import parse_task_key

_DEMAND = Demand(Size(2 * CORE, MIB), 2000 * CORE)
_FULL = Size(0, 0)


def _make_candidate(
    position: int, loss: Loss, lost_work: float, cores: int = 2
) -> Candidate:
    task = URGENT._replace(job='filling', position=position)
    return Candidate(task, 1, Size(cores * CORE, MIB), loss, lost_work)


def test_cheapest_runs_give_way() -> None:
    """Guard against lost work where a checkpoint or a fresh run would do."""
    candidates = {
        'w-0': [_make_candidate(0, Loss.restart, 5)],
        'w-1': [
            _make_candidate(1, Loss.best_effort, 0, 0),
            _make_candidate(2, Loss.restart, 1),
            _make_candidate(3, Loss.checkpoint, 9),
        ],
    }
    free = dict.fromkeys(candidates, _FULL)
    choice = choose_victims(_DEMAND, free, candidates)
    assert choice is not None
    assert [one.task.position for one in choice.victims] == [3]


def test_more_lost_work_than_won_is_refused() -> None:
    """Guard against stops that lose more work than the task has."""
    dear = [_make_candidate(0, Loss.restart, _DEMAND.work)]
    assert choose_victims(_DEMAND, {'w-0': _FULL}, {'w-0': dear}) is None


def test_urgent_task_takes_the_capacity_of_a_lower_priority() -> None:
    """Guard against urgent jobs that are late behind a full pool."""
    fleet = start_full_fleet()
    submit_urgent(fleet, cores=3)
    fleet.run(1)
    assert fleet.get_running_workers(URGENT)
    assert count_running(fleet, 'filling') == 5
    step = fleet.state.jobs['filling'].steps[0][0]
    assert not step.failures
    assert len(step.waiting) == count_preempted(fleet) == 3
    for model in fleet.workers.values():
        if URGENT in model.running:
            model.end(URGENT, 'done')
    fleet.run(0.5)
    assert count_running(fleet, 'filling') == 8


def test_freed_capacity_is_kept_until_the_task_fits() -> None:
    """Guard against small tasks that take what was freed for a wide one."""
    fleet = start_full_fleet()
    fleet.submit('next', make_step(4, estimate_ms=9000), queue=LOW_QUEUE)
    for model in fleet.workers.values():
        model.stop_delay_s = 0.8
    submit_urgent(fleet, cores=4)
    worker = fleet.workers[_run_until_preempted(fleet)]
    fleet.run(0.1)
    # The stops of one worker end one after another.
    for number, task in enumerate(sorted(worker.stopping)):
        worker.stopping[task] = fleet.now_s + number / 5
    fleet.run(0.8)
    assert fleet.get_running_workers(URGENT) == [worker.worker.name]
    assert count_running(fleet, 'next') == 0


@pytest.mark.parametrize('is_enabled', [True, False])
def test_equal_priorities_never_preempt(is_enabled: bool) -> None:
    """Guard against tasks of one priority that stop each other."""
    queue = QUEUE if is_enabled else LOW_QUEUE
    policy = POLICY._replace(enabled=is_enabled)
    fleet = start_full_fleet(policy, queue=queue)
    submit_urgent(fleet)
    fleet.run(5)
    assert count_running(fleet, 'filling') == 8
    assert not fleet.get_running_workers(URGENT)


def test_task_waits_for_a_run_that_ends_in_time() -> None:
    """Guard against stops where a run ends before the job would be late."""
    fleet = start_full_fleet(step=make_step(8, estimate_ms=1000))
    submit_urgent(fleet)
    fleet.run(1)
    assert count_preempted(fleet) == 0


def test_late_task_preempts_nothing() -> None:
    """Guard against work lost for a job that is late all the same."""
    fleet = start_full_fleet()
    request = JobRequest('', (make_step(estimate_ms=3000),))
    early_ms = fleet.now_ms - 9000
    fleet.commit(SubmitJob('urgent', QUEUE, TEAM, request, early_ms))
    fleet.run(2)
    assert count_preempted(fleet) == 0


def test_long_running_tasks_of_lost_worker_find_capacity() -> None:
    """Guard against services that wait in a pool full of other work."""
    fleet = start_full_fleet(step=make_step(4, estimate_ms=9000))
    fleet.submit('service', make_long_running(2, cores=2, max_per_worker=2))
    fleet.submit('more', make_step(4, estimate_ms=9000), queue=LOW_QUEUE)
    fleet.run(0.5)
    lost = fleet.get_running_workers(URGENT._replace(job='service'))[0]
    fleet.workers.pop(lost)
    fleet.run(8)
    assert count_running(fleet, 'service') == 2


def test_services_give_way_only_within_their_limit() -> None:
    """Guard against more unavailable tasks of a service than it allows."""
    low = make_long_running(8, max_unavailable=2)
    fleet = start_full_fleet(step=low)
    fleet.run(1)
    fleet.submit('wide', make_long_running(1, cores=4))
    fleet.run(1)
    assert count_running(fleet, 'filling') == 8
    fleet.submit('narrow', make_long_running(3))
    for _ in range(40):
        fleet.run(0.05)
        assert count_running(fleet, 'filling') >= 6
    assert count_running(fleet, 'narrow') == 2


def test_best_effort_task_gives_way_for_memory() -> None:
    """Guard against services that wait for the memory of best-effort tasks."""
    size = Size(CORE, 8192 * MIB)
    filler = make_step(2, size=size, is_long_running=True, is_best_effort=True)
    fleet = start_full_fleet(step=filler, queue=QUEUE)
    fleet.submit('urgent', make_long_running(1))
    fleet.run(1)
    assert fleet.get_running_workers(URGENT)
    assert count_running(fleet, 'filling') == 1


def test_limit_holds_across_leaders() -> None:
    """Guard against tasks that give way forever as leaders change."""
    fleet = start_full_fleet(POLICY._replace(max_per_task=1))
    for number in range(10):
        fleet.submit(f'urgent-{number}', make_long_running(1))
        fleet.run(1.2)
        fleet.commit(CancelJob(f'urgent-{number}'))
        fleet.elect()
        fleet.run(0.5)
    step = fleet.state.jobs['filling'].steps[0][0]
    assert count_running(fleet, 'filling') == 8
    assert len(step.preempted) == 8
    assert {len(runs) for runs in step.preempted.values()} == {1}


def test_unresolved_stop_allows_no_second_victim() -> None:
    """Guard against victims on one worker after the other for one task."""
    fleet = start_full_fleet()
    submit_urgent(fleet)
    worker = _run_until_preempted(fleet)
    fleet.workers[worker].is_unreachable = True
    fleet.run(0.8)
    assert count_preempted(fleet) == 1
    fleet.run(2)
    assert len(fleet.get_running_workers(URGENT)) == 1


def test_leader_lost_between_stop_and_record() -> None:
    """Guard against a victim that is lost or runs twice after an election."""
    fleet = start_full_fleet()
    submit_urgent(fleet)
    _run_until_preempted(fleet)
    fleet.is_held = True
    fleet.run(0.3)
    fleet.elect()
    fleet.is_held = False
    fleet.run(1)
    assert fleet.get_running_workers(URGENT)
    step = fleet.state.jobs['filling'].steps[0][0]
    assert count_running(fleet, 'filling') == 7
    assert len(step.waiting) == 1
    assert not step.failures


def test_nothing_is_stopped_before_the_log_has_it() -> None:
    """Guard against limits that a leader change makes void."""
    fleet = start_full_fleet()
    fleet.is_held = True
    fleet.submit('urgent', make_long_running(1))
    fleet.run(2)
    assert any(isinstance(one, PreemptRuns) for one in fleet.proposed)
    assert count_running(fleet, 'filling') == 8
    fleet.elect()
    fleet.is_held = False
    fleet.run(1.5)
    assert fleet.get_running_workers(URGENT)
    assert count_preempted(fleet) == 1


def _run_until_preempted(fleet: ModelFleet) -> str:
    for _ in range(40):
        preempted = [
            one for one in fleet.logged if one.startswith('run.preempted ')
        ]
        if preempted:
            task = parse_task_key(preempted[0].split()[1])
            assert task
            step = fleet.state.jobs['filling'].steps[0][0]
            return step.running[task.position].worker
        fleet.run(0.05)
    raise AssertionError('No run was preempted.')
