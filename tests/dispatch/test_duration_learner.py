"""Test what a leader learns from its workers and hands on in the log."""

import pytest

from builders.durations import (
    end_runs,
    make_learned_step,
    make_learning_fleet,
    run_to_end,
)
from builders.workers import (
    CORE,
    MIB,
    QUEUE,
    ModelFleet,
    make_catalog,
    make_step,
    make_worker,
)
from sardinemast.jobs import DurationKey, JobStatus, Size, Step, TaskKey
from sardinemast.jobs.commands import ForgetWorker, PutCatalog

_TASK = TaskKey('bad', 0, 0, 0)


def _get_expected_ms(fleet: ModelFleet) -> float:
    durations = fleet.dispatcher._state.durations
    return durations.get_expected_ms(QUEUE, make_learned_step())


def test_next_leader_starts_from_the_log() -> None:
    """Guard against a change of leader that forgets all durations."""
    fleet = make_learning_fleet()
    for number in range(30):
        run_to_end(fleet, f'job-{number}', make_learned_step(), 1)
    fleet.run(1)
    learned_ms = _get_expected_ms(fleet)
    assert learned_ms > 800
    fleet.elect()
    assert abs(_get_expected_ms(fleet) - learned_ms) < 10


def test_log_gets_at_most_one_summary_a_second() -> None:
    """Guard against commands with each end, and while nothing ends."""
    fleet = make_learning_fleet()
    before = fleet.log_length
    for number in range(10):
        run_to_end(fleet, f'job-{number}', make_learned_step(), 0.3)
    fleet.run(1)
    # Each job takes four entries: its submission, start, end and a summary
    # at most.
    assert fleet.log_length - before <= 10 * 3 + 6
    before = fleet.log_length
    fleet.run(5)
    assert fleet.log_length == before


def test_learned_durations_are_logged_once_a_minute() -> None:
    """Guard against a line in the log for each summary."""
    fleet = make_learning_fleet()
    step = make_learned_step()._replace(task_count=4)
    for number in range(30):
        run_to_end(fleet, f'job-{number}', step, 0.2)
    fleet.run(1)
    lines = [one for one in fleet.logged if one.startswith('durations.')]
    assert set(lines) == {f'durations.learned {QUEUE}'}
    assert len(lines) == 3


@pytest.mark.parametrize('is_resumed', [True, False])
def test_partly_seen_runs_are_not_counted(*, is_resumed: bool) -> None:
    """Guard against learning from resumed runs, or from a new term on."""
    fleet = make_learning_fleet()
    fleet.submit('job', make_learned_step()._replace(can_checkpoint=True))
    fleet.run(0.5)
    if is_resumed:
        end_runs(fleet, 'job', 'stopped', 'half')
    else:
        fleet.elect()
    fleet.run(0.5)
    end_runs(fleet, 'job', 'done')
    fleet.run(2)
    assert fleet.state.jobs['job'].status is JobStatus.done
    assert DurationKey(QUEUE) not in fleet.state.durations


def test_job_that_always_fails_starts_no_further_tasks() -> None:
    """Guard against work for a job of which one task can never succeed."""
    fleet = _fail_twice()
    fleet.run(3)
    started = {one.task for one in fleet.started if one.task.job == 'bad'}
    assert started == {_TASK}
    assert fleet.get_running_workers(_TASK)
    end_runs(fleet, 'bad', 'failed')
    assert fleet.state.jobs['bad'].status is JobStatus.failed


def test_task_that_succeeds_after_all_releases_its_job() -> None:
    """Guard against jobs held back for ever by two failures."""
    fleet = _fail_twice()
    fleet.run(3)
    end_runs(fleet, 'bad', 'done')
    fleet.run(3)
    started = {one.task for one in fleet.started if one.task.job == 'bad'}
    assert len(started) == 2


def test_faults_of_workers_do_not_hold_jobs_back() -> None:
    """Guard against blaming a task for workers that fail everything."""
    fleet = _fail_twice(has_successes=False)
    assert not fleet.dispatcher._state.failing_tasks.held


@pytest.mark.parametrize('is_gang', [True, False])
def test_failing_task_does_not_hold_back_long_running_tasks(
    *, is_gang: bool
) -> None:
    """Guard against a long-running task that waits although it has room.

    It waited for a failing task of another step of its job to succeed or to
    use up its attempts, which may never happen while that task itself waits.
    """
    lasting = make_step(
        image='a',
        size=Size(4 * CORE, MIB),
        is_long_running=True,
        is_gang=is_gang,
    )
    fleet = _fail_twice(lasting)
    fleet.run(1)
    assert fleet.get_running_workers(TaskKey('bad', 0, 1, 0))


def test_failing_task_that_fits_nowhere_does_not_hold_back_its_job() -> None:
    """Guard against a job that waits for ever beside empty workers.

    The workers with the label that its failing task needs are gone.
    """
    fleet = make_learning_fleet()
    catalog = make_catalog(2)
    queue = catalog.queues[0]._replace(max_attempts=3)
    fleet.commit(PutCatalog(catalog._replace(queues=(queue,)), b'{}'))
    for number in (5, 6):
        worker = make_worker(number)
        fleet.add_worker(worker._replace(labels=('b', worker.rack)))
    fleet.run(1)
    labelled = make_step(image='a', required_label='b')
    whole = labelled._replace(task_count=2, size=Size(4 * CORE, MIB))
    run_to_end(fleet, 'good', whole, 0.3)
    fleet.submit('busy', make_step(8, image='a', required_label='a'))
    fleet.run(0.3)
    other = make_step(4, image='a', required_label='a')
    fleet.submit('bad', labelled, other)
    for _ in range(2):
        fleet.run(0.5)
        end_runs(fleet, 'bad', 'failed')
    assert fleet.dispatcher._state.failing_tasks.held
    for name in ('w-5', 'w-6'):
        model = fleet.workers.pop(name)
        fleet.commit(ForgetWorker(name, model.worker.boot_ms))
    end_runs(fleet, 'busy', 'done')
    fleet.run(1)
    other_step = fleet.state.jobs['bad'].steps[0][1]
    assert not other_step.running
    fleet.run(5)
    assert len(other_step.running) == 4


def _fail_twice(
    other: Step | None = None, *, has_successes: bool = True
) -> ModelFleet:
    """Return a fleet on whose two workers a task of the job ``bad`` failed.

    Its other task needs a whole worker, and gets one only now.
    """
    fleet = make_learning_fleet()
    catalog = make_catalog(2)
    queue = catalog.queues[0]._replace(max_attempts=3)
    fleet.commit(PutCatalog(catalog._replace(queues=(queue,)), b'{}'))
    whole = make_step(image='a', size=Size(4 * CORE, MIB))
    if has_successes:
        run_to_end(fleet, 'good', whole._replace(task_count=2), 0.3)
    large = make_step(2, image='a', size=Size(3 * CORE, MIB))
    fleet.submit('busy', large)
    fleet.run(0.2)
    fleet.submit('bad', make_step(image='a'), other or whole)
    for _ in range(2):
        fleet.run(0.5)
        end_runs(fleet, 'bad', 'failed')
    end_runs(fleet, 'busy', 'done')
    return fleet
