"""Workers that are slow, or whose tasks stand still.

The pattern: tasks of 0.6 s on workers of four cores; one of them works at a
sixth of its speed or not at all, as `srv_slow` and hanging tasks do to the
users' workers for five to eight seconds.
"""

from builders.model_workers import ModelWorker
from builders.workers import ModelFleet, make_step
from sardinemast.jobs import TaskKey

TASK = TaskKey('job', 0, 0, 0)


def _start_two(fleet: ModelFleet) -> ModelWorker:
    fleet.run(1)
    fleet.submit('job', make_step(2, estimate_ms=600))
    fleet.run(0.2)
    return fleet.workers[fleet.get_runs(TASK)[0]]


def test_task_that_stands_still_starts_elsewhere() -> None:
    """A worker's tasks stand still while it says that all is well.

    A parent's booking has one task there, and waits until the worker works
    again, while others have room.
    """
    fleet = ModelFleet()
    stuck = _start_two(fleet)
    stuck.percent = 3
    fleet.run(3.5)
    places = fleet.get_runs(TASK)
    assert len(places) == 1
    assert places != [stuck.worker.name]


def test_worker_that_crawls_gets_nothing_new_for_a_while() -> None:
    """New tasks find room at the slow worker first, since it is never done."""
    fleet = ModelFleet()
    slow = _start_two(fleet)
    slow.percent = 10
    fleet.run(3)
    known = len(fleet.started)
    fleet.submit('next', make_step(3, estimate_ms=600))
    fleet.run(0.5)
    places = {one.worker.name for one in fleet.started[known:]}
    assert places
    assert slow.worker.name not in places


def _start_long(fleet: ModelFleet, *jobs: str) -> ModelWorker:
    """Start one task of 3 s a job; they stand packed on one worker."""
    fleet.run(1)
    for job in jobs:
        fleet.submit(job, make_step(2 // len(jobs), estimate_ms=3000))
    fleet.run(0.2)
    places = {one.worker.name for one in fleet.started}
    assert len(places) == 1
    return fleet.workers[places.pop()]


def test_worker_that_crawls_is_known_before_its_runs_are_overdue() -> None:
    """Two claims' long tasks are at two hundredths after more than a second.

    Until they were overdue 7.8 s went by, and both claims were late.
    """
    fleet = ModelFleet()
    slow = _start_long(fleet, 'one', 'two')
    slow.percent = 2
    fleet.run(2.5)
    started = fleet.started[2:]
    assert len(started) == 2
    assert all(one.worker.name != slow.worker.name for one in started)


def test_step_declared_far_too_short_proves_no_slow_worker() -> None:
    """Both tasks of one step take ten times what their caller declares.

    Stopped and started elsewhere, they would take as long there.
    """
    fleet = ModelFleet()
    worker = _start_long(fleet, 'one')
    worker.percent = 2
    fleet.run(2.5)
    assert len(fleet.started) == 2


def test_task_that_is_nearly_done_is_left_alone() -> None:
    """A task takes longer than declared, as many do, and is nearly done.

    Stopped now, it would take its whole time once more.
    """
    fleet = ModelFleet()
    worker = _start_two(fleet)
    worker.percent = 85
    fleet.run(4)
    assert len(fleet.started) == 2


def test_one_long_task_is_not_taken_for_a_slow_worker() -> None:
    """A caller declares a fifth of what its task takes; the other is done.

    Stopped halfway, it is later than if it had been left alone.
    """
    fleet = ModelFleet()
    worker = _start_two(fleet)
    _end_first(worker)
    worker.percent = 30
    fleet.run(3)
    assert len(fleet.started) == 2


def test_task_without_room_elsewhere_goes_on() -> None:
    """All other workers are full; a slow run is better than none."""
    fleet = ModelFleet(1)
    worker = _start_two(fleet)
    worker.percent = 10
    fleet.run(4)
    assert fleet.get_runs(TASK) == [worker.worker.name]
    assert len(fleet.started) == 2


def test_task_that_crawls_everywhere_is_not_moved_for_ever() -> None:
    """A task takes ten times what its caller declared, on every worker."""
    fleet = ModelFleet()
    _start_two(fleet)
    for model in fleet.workers.values():
        model.percent = 10
    fleet.run(20)
    assert len(fleet.started) <= 4


def _end_first(model: ModelWorker) -> None:
    model.end(next(iter(model.running)), 'done')


def test_queue_whose_tasks_all_take_long_learns_it() -> None:
    """A queue declares a third of what its tasks take.

    Taken for stragglers, its tasks would be stopped and started in turn.
    """
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


def test_filler_that_stands_still_starts_where_processors_are_full() -> None:
    """A filler hangs while other tasks take all processors elsewhere.

    Its own are not counted, so that it has room there; judged by its whole
    size it would hang until the worker is well again.
    """
    fleet = ModelFleet()
    fleet.run(1)
    fleet.submit('job', make_step(2, estimate_ms=600, is_best_effort=True))
    fleet.run(0.2)
    stuck = fleet.workers[fleet.get_runs(TASK)[0]]
    stuck.percent = 3
    fleet.submit('busy', make_step(8, estimate_ms=9000))
    fleet.run(3.5)
    places = fleet.get_runs(TASK)
    assert len(places) == 1
    assert places != [stuck.worker.name]
