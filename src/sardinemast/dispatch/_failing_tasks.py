"""Find tasks that fail on every worker, so that their jobs end early."""

from collections import defaultdict
from collections.abc import Mapping, Set

from sardinemast.jobs import JobsState, StepState, TaskKey

# A success on a worker shows for this long that it can run the image.
_SUCCESS_VALID_S = 30.0
_WORKERS_MIN = 2
# A failing task that waits longer than this may not fit on any worker, and the
# rest of its job would wait with it.
_HOLD_WAITING_S = 3.0
# Bound what is remembered; the oldest is dropped.
_SUCCESSES_MAX = 8192
_TASKS_MAX = 4096


class FailingTasks:
    """Track on which workers tasks failed by their own fault.

    A task is at fault if other tasks of its image succeeded on that worker.
    ``held`` maps a job to its tasks that failed so on two workers: until each
    has succeeded, or used up its attempts, no other task of the job starts but
    long-running ones. The job is not held back while all of these wait for
    long.
    """

    def __init__(self) -> None:
        self._succeeded_s: dict[tuple[str, str], float] = {}
        self._failed_on: dict[TaskKey, set[str]] = {}
        # When each task failed last.
        self._held: dict[str, dict[TaskKey, float]] = defaultdict(dict)

    @property
    def held(self) -> Mapping[str, Mapping[TaskKey, float]]:
        """Return when the failing tasks failed last, by job."""
        return self._held

    def list_held_back(
        self, jobs: JobsState, now_s: float
    ) -> dict[str, Set[TaskKey]]:
        """Return the failing tasks of the jobs that are held back now."""
        return {
            name: failed_s.keys()
            for name, failed_s in self._held.items()
            if any(
                now_s < since_s + _HOLD_WAITING_S or _is_running(jobs, task)
                for task, since_s in failed_s.items()
            )
        }

    def start_term(self) -> None:
        """Discard the failures that the previous term has seen."""
        self._succeeded_s.clear()
        self._failed_on.clear()
        self._held.clear()

    def record_success(
        self, task: TaskKey, image: str, worker: str, now_s: float
    ) -> None:
        """Record that a worker completed a task."""
        self._succeeded_s.pop((worker, image), None)
        self._succeeded_s[worker, image] = now_s
        _drop_oldest(self._succeeded_s, _SUCCESSES_MAX)
        if self._failed_on.pop(task, None) is not None:
            self._release(task)

    def record_failure(
        self, task: TaskKey, step: StepState, worker: str, now_s: float
    ) -> bool:
        """Record a failure and return whether the task is at fault."""
        image = step.spec.image
        succeeded_s = self._succeeded_s.get((worker, image), float('-inf'))
        if now_s > succeeded_s + _SUCCESS_VALID_S:
            return False
        failed_on = self._failed_on.setdefault(task, set())
        failed_on.add(worker)
        # The members of a gang start together, so none of them is held back.
        if len(failed_on) >= _WORKERS_MIN and not step.spec.is_gang:
            self._held[task.job][task] = now_s
        if len(self._failed_on) > _TASKS_MAX:
            oldest = next(iter(self._failed_on))
            self._failed_on.pop(oldest)
            self._release(oldest)
        return True

    def forget_jobs(self, live: Mapping[str, object]) -> None:
        """Forget the held jobs that are over."""
        for name in tuple(self._held):
            if name not in live:
                self._held.pop(name)

    def _release(self, task: TaskKey) -> None:
        tasks = self._held.get(task.job, {})
        tasks.pop(task, None)
        if not tasks:
            self._held.pop(task.job, None)


def _is_running(jobs: JobsState, task: TaskKey) -> bool:
    step = jobs.find_step(task)
    return step is not None and task.position in step.running


def _drop_oldest(table: dict[tuple[str, str], float], size_max: int) -> None:
    while len(table) > size_max:
        table.pop(next(iter(table)))
