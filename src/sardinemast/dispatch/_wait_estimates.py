"""Estimate how long a submitted job would wait for capacity in its pool."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from sardinemast.dispatch._job_deadlines import get_deadlines
from sardinemast.dispatch._load_measurement import MEASURE_INTERVAL_S
from sardinemast.dispatch._pool_load import NO_LOAD
from sardinemast.dispatch._pool_prospects import PoolCapacity, PoolProspect
from sardinemast.dispatch._pool_queues import (
    PlanningKey,
    PoolQueue,
    StepWork,
)
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._step_priority import get_step_priority
from sardinemast.jobs import JobState, StepState

# An older measurement says nothing about the work ahead of a job.
_VALID_S = 1.0
# Steps that one measurement of the waiting work may cover. With more it is
# made less often, so that it takes about the same share of the time.
_STEPS_PER_MEASUREMENT = 600
_LONGEST_INTERVAL_S = 0.9
# Running tasks are halfway through on average.
_REST_OF_RUNNING = 0.5


class WaitEstimate(NamedTuple):
    """Hold the expected wait of a job, and when it ends being of use.

    ``slack_ms`` is the longest wait after which the job still ends while it
    is of use. ``allowed_ms`` is the time from its submission until then. A job
    that ``is_late`` is expected to end after its deadline.
    """

    wait_ms: float
    slack_ms: float
    allowed_ms: float
    is_late: bool = False


class _AcceptedJob(NamedTuple):
    """Hold a job accepted since the measurement; ``demand`` in millicores."""

    pool: str
    demand: int
    works: tuple[StepWork, ...]


class WaitEstimates:
    """Keep the work that waits in each pool short of capacity."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._term = 0
        self._measured_s = float('-inf')
        self._due_s = float('-inf')
        self._queues: dict[str, PoolQueue] = {}
        self._accepted: dict[str, _AcceptedJob] = {}

    def measure(self, now_s: float) -> None:
        """Add up the work of all pools whose tasks wait for capacity."""
        self._discard_earlier_terms()
        if not self._state.settings.admission.enabled or now_s < self._due_s:
            return
        self._measured_s = now_s
        for name in tuple(self._accepted):
            if name in self._state.jobs.jobs:
                self._accepted.pop(name)
        self._queues = {
            pool: PoolQueue(self._get_capacity(pool))
            for pool, load in self._state.loads.items()
            if load.shortfall > 0
        }
        step_count = sum(map(self._add_job, self._state.jobs.live.values()))
        for queue in self._queues.values():
            queue.sort(self._state.now_ms)
        share = max(step_count / _STEPS_PER_MEASUREMENT, 1)
        interval_s = MEASURE_INTERVAL_S * share
        self._due_s = now_s + min(interval_s, _LONGEST_INTERVAL_S)

    def record_accepted(self, job: JobState) -> None:
        """Count a job from now on, before the log has it."""
        steps = [step for step in job.iterate_steps() if _ends_by_itself(step)]
        demand = sum(
            step.spec.task_count * step.spec.size.millicores
            for step in steps
            if job.is_ready(step)
        )
        works = tuple(self._make_work(job, step) for step in steps)
        self._accepted[job.name] = _AcceptedJob(job.queue.pool, demand, works)

    def estimate(self, job: JobState, now_s: float) -> WaitEstimate | None:
        """Return the expected wait of a job with an open first occurrence.

        Return ``None`` if its pool has free capacity, or if nothing is known.
        """
        self._discard_earlier_terms()
        queue = self._queues.get(job.queue.pool)
        if queue is None or now_s > self._measured_s + _VALID_S:
            return None
        if self._has_free(job.queue.pool) or queue.capacity.later <= 0:
            return None
        now_ms = self._state.now_ms
        durations = self._state.durations
        deadlines = get_deadlines(job, 0, durations)
        total_ms = durations.get_total_ms(job)
        wait_ms = self._get_wait_ms(job, queue, now_ms)
        is_late = now_ms + wait_ms + total_ms > deadlines.due_ms
        if is_late:
            # It is then ordered among the late ones.
            wait_ms = self._get_wait_ms(job, queue, now_ms + wait_ms)
        return WaitEstimate(
            wait_ms,
            deadlines.useful_until_ms - now_ms - total_ms,
            deadlines.useful_until_ms - job.submitted_ms,
            is_late,
        )

    def _discard_earlier_terms(self) -> None:
        if self._term != self._state.term:
            self._term = self._state.term
            self._measured_s = float('-inf')
            self._due_s = float('-inf')
            self._queues.clear()
            self._accepted.clear()

    def _has_free(self, pool: str) -> bool:
        load = self._state.loads.get(pool, NO_LOAD)
        accepted = sum(
            one.demand for one in self._accepted.values() if one.pool == pool
        )
        return load.shortfall + accepted < 0

    def _get_wait_ms(
        self, job: JobState, queue: PoolQueue, start_ms: float
    ) -> float:
        """Return the wait of a job by its place in the order at a time."""
        key = self._get_key(job, start_ms)
        ahead = queue.get_ahead(key) + sum(
            work.millicore_ms
            for accepted in self._accepted.values()
            if accepted.pool == job.queue.pool
            for work in accepted.works
            if work.key < key
        )
        return queue.capacity.get_drain_ms(ahead)

    def _get_key(self, job: JobState, start_ms: float) -> PlanningKey:
        first = max(job.steps[0], key=_get_path_getter(job))
        return get_step_priority(
            job, first, self._state.durations, int(start_ms)
        )

    def _add_job(self, job: JobState) -> int:
        queue = self._queues.get(job.queue.pool)
        if queue is None:
            return 0
        count = 0
        for step in job.iterate_steps():
            if step.is_done or not _ends_by_itself(step):
                continue
            count += 1
            task_work = self._get_task_work(job, step)
            queue.running += len(step.running) * task_work * _REST_OF_RUNNING
            if step.waiting:
                queue.add(self._make_work(job, step))
        return count

    def _make_work(self, job: JobState, step: StepState) -> StepWork:
        durations = self._state.durations
        deadlines = get_deadlines(job, step.key.occurrence, durations)
        late_from_ms = deadlines.due_ms - durations.get_remaining_ms(
            job, step.key.step
        )
        return StepWork(
            get_step_priority(job, step, durations, self._state.now_ms),
            len(step.waiting) * self._get_task_work(job, step),
            get_step_priority(job, step, durations, int(deadlines.due_ms) + 1),
            late_from_ms,
        )

    def _get_task_work(self, job: JobState, step: StepState) -> float:
        duration_ms = self._state.durations.get_expected_ms(
            job.queue.name, step.spec
        )
        return duration_ms * step.spec.size.millicores

    def _get_capacity(self, pool: str) -> PoolCapacity:
        load = self._state.loads[pool]
        prospect = self._state.prospects.get(pool, PoolProspect())
        worker_millicores = prospect.worker_millicores
        taken = max(load.long_running_usage, 0) + self._get_waiting(pool)
        now = load.capacity + sum(self._iterate_unknown(pool)) - taken
        now += prospect.incoming * worker_millicores
        later = prospect.most * worker_millicores - taken
        return PoolCapacity(max(now, 0), max(now, later, 0))

    def _get_waiting(self, pool: str) -> int:
        """Return the demand of long-running tasks that wait in a pool."""
        return sum(
            len(step.waiting) * step.spec.size.millicores
            for step in self._state.jobs.ready.values()
            if step.spec.is_long_running
            and not step.spec.is_best_effort
            and self._state.jobs.get_queue(step).pool == pool
        )

    def _iterate_unknown(self, pool: str) -> Iterator[int]:
        """Yield the capacity of workers not polled yet, which may be free.

        A new leader has polled no worker, and a restarted one has no clock or
        has not announced itself.
        """
        for session in self._state.sessions.values():
            worker = session.worker
            is_known = session.is_synced and session.is_announced
            is_unknown = not (is_known or session.is_draining)
            if worker.pool == pool and is_unknown:
                yield worker.capacity.millicores


def _ends_by_itself(step: StepState) -> bool:
    return not (step.spec.is_long_running or step.spec.is_best_effort)


def _get_path_getter(job: JobState) -> Callable[[StepState], int]:
    return lambda step: job.critical_paths_ms[step.key.step]
