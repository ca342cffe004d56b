"""Detect stuck and slow runs and restart them on other workers.

A worker may report that it is healthy while its runs make little or no
progress. Such runs never fail, but they delay the jobs that need them.
"""

from typing import NamedTuple

from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import WorkerSession
from sardinemast.jobs import RunEnd, Step, StepState, TaskKey
from sardinemast.jobs.commands import FinishedRun

_MS = 1000
_FULL_PERCENT = 100
# A run is overdue after this multiple of its expected duration. Estimates of
# healthy runs are off by a factor of up to two; slow workers took four to eight
# times as long.
_OVERDUE_FACTOR = 2.5
_OVERDUE_EXTRA_S = 0.3
# A single slow run may have a wrong estimate; a slow worker delays all runs.
_SLOW_RUNS_MIN = 2
# A run is only stopped if its remaining time exceeds the cost of a restart: the
# whole duration, with a margin, and the time to stop it, up to 0.9 s.
_RESTART_FACTOR = 1.5
_RESTART_COST_S = 0.5
# A task that is also slow on another worker is slow itself.
_RUNS_PER_TASK_MAX = 2
# Progress shows the speed of a run only after a minimum time. A run is slow if
# its projected duration exceeds this multiple of the expected one.
_OBSERVED_MIN_S = 0.25
_SLOW_FACTOR = 3.0
# Backoff of a slow worker, doubled each time.
_AVOID_S = 2.0
_DOUBLINGS_MAX = 3
# A run that ends within this multiple shows that its worker is healthy.
_HEALTHY_FACTOR = 1.8
# Where durations are learned, a worker is only slow if two of its runs take
# longer than this share of their kind. A few tasks take a multiple anywhere.
_USUAL_QUANTILE = 0.99
# The expected duration of a run is at least this quantile of its kind: where
# declared durations are far off, many healthy runs take twice the mean.
_EXPECTED_QUANTILE = 0.75
# Weight of the latest run in the moving average of its queue.
_LEARNING_RATE = 0.1


class _TrackedRun(NamedTuple):
    """Hold what is needed of a run when its job may be gone already."""

    number: int
    started_s: float
    queue: str
    spec: Step
    expected_ms: float


_TrackedRuns = dict[TaskKey, _TrackedRun]


class _SlowCount(NamedTuple):
    """Hold how often one boot of a worker was found to be slow."""

    boot_ms: int
    times: int


class StragglerDetector:
    """Track the progress of runs and stop those that are faster elsewhere."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._tracked: dict[str, _TrackedRuns] = {}
        self._duration_factors: dict[str, float] = {}
        self._slow_counts: dict[str, _SlowCount] = {}

    def start_term(self) -> None:
        """Discard the runs of the previous term."""
        self._tracked.clear()
        self._slow_counts.clear()

    def record_ends(
        self,
        session: WorkerSession,
        ends: list[FinishedRun],
        now_s: float,
    ) -> None:
        """Update the ratio of actual to declared durations by queue."""
        known_runs = self._tracked.get(session.worker.name, {})
        for finished_run in ends:
            tracked = known_runs.get(finished_run.task)
            if tracked is None or finished_run.end is not RunEnd.done:
                continue
            if tracked.number == finished_run.number:
                duration_s = now_s - tracked.started_s
                self._record_duration(session.worker.name, tracked, duration_s)

    def stop_stragglers(self, session: WorkerSession, now_s: float) -> None:
        """Stop slow runs on a worker that would finish sooner elsewhere."""
        tracked = self._track_runs(session, now_s)
        slow = self._list_slow(session, tracked, now_s)
        if len(slow) < _SLOW_RUNS_MIN:
            return
        if self._are_usual(session, slow, now_s):
            return
        self._avoid(session, now_s)
        for task in slow:
            number = tracked[task].number
            if number < _RUNS_PER_TASK_MAX and self._has_capacity_elsewhere(
                task, session, now_s
            ):
                self._state.log(
                    'run.straggles',
                    str(task),
                    run=number,
                    worker=session.worker.name,
                    since_s=round(now_s - tracked[task].started_s, 3),
                    percent=session.reported_runs[task].percent,
                )
                self._state.stop_run(session, task, number, now_s)

    def _record_duration(
        self, worker: str, tracked: _TrackedRun, duration_s: float
    ) -> None:
        if duration_s < _HEALTHY_FACTOR * self._get_expected_s(tracked):
            self._slow_counts.pop(worker, None)
        factor = duration_s * _MS / tracked.spec.estimate_ms
        usual_factor = self._duration_factors.get(tracked.queue, 1)
        self._duration_factors[tracked.queue] = (
            usual_factor + (factor - usual_factor) * _LEARNING_RATE
        )

    def _track_runs(self, session: WorkerSession, now_s: float) -> _TrackedRuns:
        """Update and return the tracked runs of a worker."""
        name = session.worker.name
        known_runs = self._tracked.get(name, {})
        tracked: _TrackedRuns = {}
        for task, run in session.reported_runs.items():
            tracked_run = known_runs.get(task)
            if tracked_run is None or tracked_run.number != run.number:
                step = self._state.jobs.find_step(task)
                if step is None or not _is_comparable(step, session):
                    continue
                start_s = _get_start_s(session, task, run.number, now_s)
                tracked_run = self._make_tracked(step, run.number, start_s)
            tracked[task] = tracked_run
        self._tracked[name] = tracked
        return tracked

    def _make_tracked(
        self, step: StepState, number: int, start_s: float
    ) -> _TrackedRun:
        queue = self._state.jobs.get_queue(step).name
        durations = self._state.durations
        expected_ms = max(
            durations.get_expected_ms(queue, step.spec),
            durations.get_quantile_ms(queue, step.spec, _EXPECTED_QUANTILE),
        )
        return _TrackedRun(number, start_s, queue, step.spec, expected_ms)

    def _list_slow(
        self,
        session: WorkerSession,
        tracked: _TrackedRuns,
        now_s: float,
    ) -> list[TaskKey]:
        slow = [
            task
            for task, run in tracked.items()
            if task not in session.sent_stops
            and self._is_slow(run, session.reported_runs[task].percent, now_s)
        ]
        # All tasks of a step share one estimate, which may be wrong. Slow runs
        # of a single step therefore only count once they are overdue.
        if len({task[:-1] for task in slow}) >= _SLOW_RUNS_MIN:
            return slow
        return [task for task in slow if self._is_overdue(tracked[task], now_s)]

    def _are_usual(
        self, session: WorkerSession, slow: list[TaskKey], now_s: float
    ) -> bool:
        """Check whether tasks are known to take that long on any worker."""
        durations = self._state.durations
        if not durations.is_learning:
            return False
        tracked = self._tracked[session.worker.name]
        unusual = 0
        for task in slow:
            run = tracked[task]
            total_s = _get_total_s(
                run, session.reported_runs[task].percent, now_s
            )
            usual_ms = durations.get_quantile_ms(
                run.queue, run.spec, _USUAL_QUANTILE
            )
            unusual += total_s * _MS > usual_ms
        return unusual < _SLOW_RUNS_MIN

    def _is_slow(
        self, tracked: _TrackedRun, percent: float, now_s: float
    ) -> bool:
        elapsed_s = now_s - tracked.started_s
        total_s = elapsed_s * _FULL_PERCENT / max(percent, 1)
        expected_s = self._get_expected_s(tracked)
        # Progress reveals a slow worker long before its runs are overdue.
        # Waiting until then cost a job most of its allowed time.
        is_progress_slow = (
            elapsed_s >= _OBSERVED_MIN_S
            and total_s >= _SLOW_FACTOR * expected_s
        )
        if not is_progress_slow and not self._is_overdue(tracked, now_s):
            return False
        return (
            total_s - elapsed_s > _RESTART_FACTOR * expected_s + _RESTART_COST_S
        )

    def _is_overdue(self, tracked: _TrackedRun, now_s: float) -> bool:
        allowed_s = (
            _OVERDUE_FACTOR * self._get_expected_s(tracked) + _OVERDUE_EXTRA_S
        )
        return now_s - tracked.started_s >= allowed_s

    def _get_expected_s(self, tracked: _TrackedRun) -> float:
        expected_ms = tracked.expected_ms
        if not self._state.durations.is_learning:
            expected_ms *= self._duration_factors.get(tracked.queue, 1)
        return expected_ms / _MS

    def _avoid(self, session: WorkerSession, now_s: float) -> None:
        name = session.worker.name
        if now_s < session.backoff.until_s:
            return
        known = self._slow_counts.get(name)
        # A later boot is not blamed for the earlier one.
        is_known = known is not None and known.boot_ms == session.boot_ms
        slow_count = known.times if known and is_known else 0
        self._slow_counts[name] = _SlowCount(session.boot_ms, slow_count + 1)
        avoid_s = _AVOID_S * 2 ** min(slow_count, _DOUBLINGS_MAX)
        session.backoff.until_s = now_s + avoid_s
        self._state.log('worker.slow', name, avoid_s=avoid_s)

    def _has_capacity_elsewhere(
        self,
        task: TaskKey,
        session: WorkerSession,
        now_s: float,
    ) -> bool:
        step = self._state.jobs.find_step(task)
        if step is None:
            return False
        usable = self._state.iterate_usable(
            session.worker.pool, step.spec.reserved_size, now_s
        )
        return any(name != session.worker.name for name in usable)


def _get_total_s(tracked: _TrackedRun, percent: float, now_s: float) -> float:
    """Return the duration of a run, projected from its progress."""
    return (now_s - tracked.started_s) * _FULL_PERCENT / max(percent, 1)


def _get_start_s(
    session: WorkerSession,
    task: TaskKey,
    number: int,
    now_s: float,
) -> float:
    # A run often appears late in a report. Counted from there, short runs would
    # seem to take no time, and all other runs would seem slow.
    sent_start = session.sent_starts.get(task)
    if sent_start is None or sent_start.number != number:
        return now_s
    return sent_start.confirmed_s or now_s


def _is_comparable(step: StepState, session: WorkerSession) -> bool:
    spec = step.spec
    # Members of a gang wait for each other, and a task away from its data is
    # slow on any worker.
    if spec.is_long_running or spec.is_gang or not spec.estimate_ms:
        return False
    return spec.data_rack in {'', session.worker.rack}
