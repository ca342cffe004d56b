"""Test reports that list a part of the ends that a worker holds.

A worker lists its oldest ends, up to a number that it chooses.
"""

import pytest

from builders.model_workers import ModelWorker
from builders.workers import ModelFleet, make_step
from sardinemast.jobs import JobStatus, TaskKey

_TASKS = 4
_LOST = TaskKey('job', 0, 0, 0)
_OTHERS = 100
# Longer than a worker backs off after four failures.
_BACKOFF_S = 10.0
# A job meets its latency target if a task whose start is lost runs within it.
_TARGET_S = 0.6
# Each second has four polls of a worker whose polls fail.
_POLLS_MAX = 5
_STEP_S = 0.02


def _run_tasks(fleet: ModelFleet, ends_per_report: int) -> ModelWorker:
    """Let the only worker run all tasks of a job."""
    model = fleet.workers['w-0']
    model.ends_per_report = ends_per_report
    fleet.run(0.5)
    fleet.submit('job', make_step(_TASKS))
    fleet.run(2)
    assert len(model.running) == _TASKS
    return model


def _end_all(model: ModelWorker, result: str) -> None:
    for task in tuple(model.running):
        model.end(task, result, f'checkpoint of {task.position}')


@pytest.mark.parametrize('ends_per_report', [1, 2, 3])
def test_done_task_is_not_repeated_when_its_end_is_listed_later(
    ends_per_report: int,
) -> None:
    """Guard against tasks that run twice after a change of leader.

    Their ends did not fit into the first report to the new leader.
    """
    fleet = ModelFleet(1)
    model = _run_tasks(fleet, ends_per_report)
    _end_all(model, 'done')
    fleet.elect()
    fleet.run(3)
    assert fleet.state.jobs['job'].status is JobStatus.done
    assert len(fleet.started) == _TASKS


def test_done_task_is_not_repeated_after_the_log_stalled() -> None:
    """Guard against tasks that run twice under the same leader."""
    fleet = ModelFleet(1)
    model = _run_tasks(fleet, 2)
    fleet.is_held = True
    _end_all(model, 'done')
    fleet.run(1)
    fleet.is_held = False
    fleet.commit_held()
    fleet.run(2)
    assert fleet.state.jobs['job'].status is JobStatus.done
    assert len(fleet.started) == _TASKS


def test_failure_that_is_listed_later_counts() -> None:
    """Guard against a task that gets more attempts than its queue allows."""
    fleet = ModelFleet(1)
    model = _run_tasks(fleet, 1)
    for order in (1, -1):
        for task in sorted(model.running)[::order]:
            model.end(task, 'failed')
        fleet.elect()
        fleet.run(_BACKOFF_S)
    assert fleet.state.jobs['job'].status is JobStatus.failed
    assert len(fleet.started) == 2 * _TASKS


def test_checkpoint_that_is_listed_later_is_used() -> None:
    """Guard against work that is done again from the beginning."""
    fleet = ModelFleet(1)
    model = _run_tasks(fleet, 1)
    _end_all(model, 'stopped')
    fleet.elect()
    fleet.run(3)
    repeated = fleet.started[_TASKS:]
    assert {one.checkpoint for one in repeated} == {
        f'checkpoint of {position}' for position in range(_TASKS)
    }


@pytest.mark.parametrize('ends_per_report', [1, 100])
def test_lost_start_is_noticed_while_each_report_lists_ends(
    ends_per_report: int,
) -> None:
    """Guard against a task that waits as long as others end on its worker."""
    fleet = ModelFleet(2, cores=64)
    for model in fleet.workers.values():
        model.ends_per_report = ends_per_report
    fleet.run(4)
    fleet.submit('others', make_step(_OTHERS))
    fleet.run(2)
    fleet.starts_to_lose = 1
    fleet.submit('job', make_step())
    submitted_s = fleet.now_s
    while not fleet.get_running_workers(_LOST):
        assert fleet.now_s - submitted_s < _TARGET_S
        for model in fleet.workers.values():
            model.end(next(iter(model.running)), 'done')
        fleet.run(_STEP_S, _STEP_S)


def test_run_that_is_listed_unreadably_is_not_lost() -> None:
    """Guard against a task that starts elsewhere while its run goes on."""
    fleet = ModelFleet(2)
    fleet.run(0.5)
    fleet.submit('job', make_step())
    fleet.run(2)
    worker = fleet.workers[fleet.started[0].worker.name]
    worker.unread = {'running': (), 'unread_tasks': frozenset((_LOST,))}
    fleet.run(3)
    assert len(fleet.started) == 1


def test_unreadable_end_is_acknowledged() -> None:
    """Guard against a worker that answers each poll at once with that end."""
    fleet = ModelFleet(1)
    model = _run_tasks(fleet, 1)
    _end_all(model, 'done')
    model.unread = {'ended': (), 'unread_position': 3}
    fleet.run(1)
    assert [one.position for one in model.ends] == [4]


def test_end_without_position_does_not_hurry_polls() -> None:
    """Guard against a worker that is polled without a pause."""
    fleet = ModelFleet(1)
    model = _run_tasks(fleet, 1)
    _end_all(model, 'done')
    model.unread = {'ended': (), 'has_unread_ends': True}
    model.poll_count = 0
    fleet.run(1, 0.01)
    assert 1 < model.poll_count <= _POLLS_MAX
