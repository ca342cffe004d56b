"""Check from outside that long-running tasks run where there is room."""

from builders.instance_fleets import InstanceFleet
from sardinemast.jobs import Size, StepState, TaskKey, Worker

# A task runs again within this time of its last run.
_AWAY_MAX_S = 6.0
# The limit holds only if there was no failure for this long.
_CALM_S = 7.0
# Time in which the dispatcher learns that a run has ended or a worker is back.
_DETECTION_S = 1.0
# Workers of the pool have room for a task this many times.
_ROOM_COUNT = 2
_STEP_S = 0.05


class RoomObserver:
    """Measure for how long tasks are away although their pool has room.

    The observer sees what runs on the workers, and not the log. The time
    without room for a task does not count.
    """

    def __init__(self, fleet: InstanceFleet) -> None:
        self.fleet = fleet
        self.away_s: dict[TaskKey, float] = {}
        self.longest_s: dict[TaskKey, float] = {}

    def run(self, seconds: float) -> None:
        """Let time pass and observe the tasks."""
        for _ in range(round(seconds / _STEP_S)):
            self.fleet.run(_STEP_S)
            self.observe()

    def observe(self) -> None:
        """Add the time since the last observation to tasks that are away."""
        for step, task in list_long_running_tasks(self.fleet):
            is_away = not self.fleet.get_running_workers(task)
            if is_away and count_room(self.fleet, step) >= _ROOM_COUNT:
                away_s = self.away_s.get(task, 0) + _STEP_S
            else:
                away_s = 0
            self.away_s[task] = away_s
            longest_s = max(self.longest_s.get(task, 0), away_s)
            self.longest_s[task] = longest_s

    def list_overdue(
        self, *, has_failure: bool = False
    ) -> dict[TaskKey, float]:
        """Return the tasks that were away for too long, and the times.

        With ``has_failure``, the observed time began with a failure.
        """
        limit_s = _AWAY_MAX_S + _DETECTION_S
        if has_failure:
            limit_s = _CALM_S + _DETECTION_S
        return {
            task: round(away_s, 2)
            for task, away_s in self.longest_s.items()
            if away_s > limit_s
        }


def list_long_running_tasks(
    fleet: InstanceFleet,
) -> list[tuple[StepState, TaskKey]]:
    """Return the long-running tasks of jobs that are not over."""
    long_running = [
        step for step in fleet.state.ready.values() if step.spec.is_long_running
    ]
    return [
        (step, step.get_task(position))
        for step in long_running
        for position in range(step.spec.task_count)
    ]


def count_room(fleet: InstanceFleet, step: StepState) -> int:
    """Return how many more tasks of a step the workers of its pool can hold."""
    pool = fleet.state.get_queue(step).pool
    return sum(
        _count_fitting(fleet, model.worker, step)
        for model in fleet.workers.values()
        if model.worker.pool == pool
        and not model.worker.is_draining
        and not model.is_unreachable
        and not model.loses_responses
    )


def _count_fitting(
    fleet: InstanceFleet, worker: Worker, step: StepState
) -> int:
    tasks = fleet.workers[worker.name].running
    free = worker.capacity
    for task in tasks:
        running_step = fleet.state.find_step(task)
        if running_step is not None:
            free = free.plus(running_step.spec.reserved_size, -1)
    room = _divide(free, step.spec.reserved_size)
    if step.spec.max_per_worker:
        own = sum(task[:-1] == tuple(step.key) for task in tasks)
        room = min(room, step.spec.max_per_worker - own)
    return room


def _divide(free: Size, size: Size) -> int:
    counts = [
        free_amount // amount
        for free_amount, amount in zip(free, size, strict=True)
        if amount
    ]
    return max(min(counts), 0)
