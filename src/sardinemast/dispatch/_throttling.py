"""Throttle best-effort tasks beside latency-sensitive tasks."""

from collections.abc import Iterator
from typing import NamedTuple

from sardinemast.dispatch._worker_session import WorkerSession
from sardinemast.jobs import JobsState, TaskKey

FULL_PERCENT = 100
# Ratios of tail latency to its limit. Best-effort tasks are throttled before
# the limit is reached, and released in steps once latency is well below it.
_THROTTLE_ABOVE_RATIO = 0.85
_RELEASE_BELOW_RATIO = 0.6
_STEP_PERCENT = 20
_MIN_PERCENT = 15
# Time until the reported tail latency reflects a change.
CHANGE_INTERVAL_S = 0.7


class _Speed(NamedTuple):
    """Hold the speed on one boot of a worker and when it was changed."""

    boot_ms: int
    percent: int = FULL_PERCENT
    changed_s: float = float('-inf')


class BestEffortThrottle:
    """Decide the speed of the best-effort tasks on each worker."""

    def __init__(self) -> None:
        self._speeds: dict[str, _Speed] = {}
        self._sent: dict[tuple[str, TaskKey, int], int] = {}

    def update(
        self,
        state: JobsState,
        session: WorkerSession,
        now_s: float,
    ) -> None:
        """Adjust the speed to the tail latencies in a worker's report."""
        name = session.worker.name
        speed = self._get_speed(session)
        is_unchanged = speed.changed_s == float('-inf')
        if is_unchanged and not state.usage.best_effort_counts[name]:
            return
        worst_ratio = max(_iterate_latency_ratios(state, session), default=0)
        if now_s < speed.changed_s + CHANGE_INTERVAL_S:
            return
        percent = _compute_percent(speed.percent, worst_ratio)
        if percent != speed.percent:
            self._speeds[name] = _Speed(session.boot_ms, percent, now_s)

    def list_changes(
        self,
        state: JobsState,
        session: WorkerSession,
    ) -> list[tuple[TaskKey, int, int]]:
        """Return task, run number and percentage of each run to change."""
        name = session.worker.name
        if not state.usage.best_effort_counts[name]:
            return []
        percent = self._get_speed(session).percent
        changes = []
        for task, reported in session.reported_runs.items():
            key = (name, task, reported.number)
            sent = self._sent.get(key, FULL_PERCENT)
            if sent != percent and _is_best_effort(state, task):
                changes.append((task, reported.number, percent))
        return changes

    def record_sent(
        self,
        worker: str,
        task: TaskKey,
        number: int,
        percent: int,
    ) -> None:
        """Record the percentage that was sent for a run."""
        self._sent[(worker, task, number)] = percent

    def _get_speed(self, session: WorkerSession) -> _Speed:
        """Return the speed on a worker; a later boot starts at full speed."""
        known = self._speeds.get(session.worker.name)
        if known is None or known.boot_ms != session.boot_ms:
            return _Speed(session.boot_ms)
        return known


def _iterate_latency_ratios(
    state: JobsState, session: WorkerSession
) -> Iterator[float]:
    for task, reported in session.reported_runs.items():
        limit_ms = _get_limit_ms(state, task)
        if limit_ms:
            yield reported.gauge / limit_ms


def _compute_percent(percent: int, worst_ratio: float) -> int:
    if worst_ratio > _THROTTLE_ABOVE_RATIO:
        half = percent // 2
        return half if half >= _MIN_PERCENT else 0
    if worst_ratio < _RELEASE_BELOW_RATIO:
        return min(percent + _STEP_PERCENT, FULL_PERCENT)
    return percent


def _is_best_effort(state: JobsState, task: TaskKey) -> bool:
    step = state.find_step(task)
    return step is not None and step.spec.is_best_effort


def _get_limit_ms(state: JobsState, task: TaskKey) -> int:
    step = state.find_step(task)
    return step.spec.tail_latency_limit_ms if step else 0
