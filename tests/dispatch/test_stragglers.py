"""Test the detection of slow workers and stuck runs."""

from builders.durations import make_learning_fleet, run_to_end
from builders.model_workers import ModelWorker
from builders.workers import ModelFleet, make_step
from sardinemast.jobs import TaskKey

TASK = TaskKey('job', 0, 0, 0)


def _start_two(fleet: ModelFleet) -> ModelWorker:
    fleet.run(1)
    fleet.submit('job', make_step(2, estimate_ms=600))
    fleet.run(0.2)
    return fleet.workers[fleet.get_running_workers(TASK)[0]]


def test_stuck_task_restarts_elsewhere() -> None:
    """Restart a stuck run although its worker reports to be healthy."""
    fleet = ModelFleet()
    stuck_worker = _start_two(fleet)
    stuck_worker.percent = 3
    fleet.run(3.5)
    workers = fleet.get_running_workers(TASK)
    assert len(workers) == 1
    assert workers != [stuck_worker.worker.name]


def test_slow_worker_gets_no_new_runs() -> None:
    """Start new tasks elsewhere for a while."""
    fleet = ModelFleet()
    slow_worker = _start_two(fleet)
    slow_worker.percent = 10
    fleet.run(3)
    known = len(fleet.started)
    fleet.submit('next', make_step(3, estimate_ms=600))
    fleet.run(0.5)
    workers = {one.worker.name for one in fleet.started[known:]}
    assert workers
    assert slow_worker.worker.name not in workers


def _start_long(fleet: ModelFleet, *jobs: str) -> ModelWorker:
    """Start two tasks of 3 s, split over the jobs, on one worker."""
    fleet.run(1)
    for job in jobs:
        fleet.submit(job, make_step(2 // len(jobs), estimate_ms=3000))
    fleet.run(0.2)
    workers = {one.worker.name for one in fleet.started}
    assert len(workers) == 1
    return fleet.workers[workers.pop()]


def test_slow_worker_is_detected_before_runs_are_overdue() -> None:
    """Detect by its progress that a run will take far too long."""
    fleet = ModelFleet()
    slow_worker = _start_long(fleet, 'one', 'two')
    slow_worker.percent = 2
    fleet.run(2.5)
    started = fleet.started[2:]
    assert len(started) == 2
    assert all(one.worker.name != slow_worker.worker.name for one in started)


def test_step_with_short_estimate_does_not_indicate_slow_worker() -> None:
    """Blame the estimate and not the worker if one step is slow."""
    fleet = ModelFleet()
    worker = _start_long(fleet, 'one')
    worker.percent = 2
    fleet.run(2.5)
    assert len(fleet.started) == 2


def test_nearly_finished_task_is_not_restarted() -> None:
    """Leave a slow run alone if it ends sooner than a restarted one."""
    fleet = ModelFleet()
    worker = _start_two(fleet)
    worker.percent = 85
    fleet.run(4)
    assert len(fleet.started) == 2


def test_single_slow_task_does_not_indicate_slow_worker() -> None:
    """Blame the estimate and not the worker if only one run is slow."""
    fleet = ModelFleet()
    worker = _start_two(fleet)
    _end_first(worker)
    worker.percent = 30
    fleet.run(3)
    assert len(fleet.started) == 2


def test_slow_task_continues_without_capacity_elsewhere() -> None:
    """Keep a slow run while all other workers are full."""
    fleet = ModelFleet(1)
    worker = _start_two(fleet)
    worker.percent = 10
    fleet.run(4)
    assert fleet.get_running_workers(TASK) == [worker.worker.name]
    assert len(fleet.started) == 2


def test_task_slow_on_all_workers_is_not_restarted_forever() -> None:
    """Stop restarting a task that is slow on every worker."""
    fleet = ModelFleet()
    _start_two(fleet)
    for model in fleet.workers.values():
        model.percent = 10
    fleet.run(20)
    assert len(fleet.started) <= 4


def _end_first(model: ModelWorker) -> None:
    model.end(next(iter(model.running)), 'done')


def test_queue_durations_are_learned() -> None:
    """Learn that the estimates of a queue are too short."""
    fleet = ModelFleet()
    fleet.run(1)
    for model in fleet.workers.values():
        model.percent = 60
    for number in range(40):
        fleet.submit(f'long-{number}', make_step(estimate_ms=500))
        fleet.run(1.4)
        for model in fleet.workers.values():
            for task in tuple(model.running):
                model.end(task, 'done')
        fleet.run(0.1)
    fleet.submit('job', make_step(estimate_ms=500))
    fleet.run(0.2)
    for model in fleet.workers.values():
        model.percent = 40
    known = len(fleet.started)
    fleet.run(2.2)
    assert len(fleet.started) == known


def test_stuck_best_effort_task_restarts_where_cpus_are_used() -> None:
    """Restart a stuck best-effort task on a worker whose CPUs are in use.

    Best-effort tasks reserve no CPU, so they fit there.
    """
    fleet = ModelFleet()
    fleet.run(1)
    fleet.submit('job', make_step(2, estimate_ms=600, is_best_effort=True))
    fleet.run(0.2)
    stuck_worker = fleet.workers[fleet.get_running_workers(TASK)[0]]
    stuck_worker.percent = 3
    fleet.submit('busy', make_step(8, estimate_ms=9000))
    fleet.run(3.5)
    workers = fleet.get_running_workers(TASK)
    assert len(workers) == 1
    assert workers != [stuck_worker.worker.name]


def test_tasks_that_take_long_anywhere_are_not_restarted() -> None:
    """Guard against blaming a worker for the usual tails of its tasks."""
    fleet = make_learning_fleet()
    step = make_step(estimate_ms=2000)
    for number in range(60):
        tail = 6 if number % 15 == 0 else 1
        run_to_end(fleet, f'job-{number}', step, 2 * tail)
    for job in ('slow-1', 'slow-2'):
        fleet.submit(job, step)
    for percent in range(5, 85, 5):
        _report_progress(fleet, percent)
        fleet.run(0.6)
    assert len(fleet.started) == 62
    _report_progress(fleet, 1)
    fleet.run(2)
    assert len(fleet.started) > 62


def _report_progress(fleet: ModelFleet, percent: int) -> None:
    for model in fleet.workers.values():
        model.percent = percent
