"""Estimate from arriving jobs how much capacity a pool is about to need."""

from collections import defaultdict, deque
from math import sqrt
from typing import NamedTuple

from sardinemast.jobs import JobState

# Long enough to hold some jobs of a peak, short compared to a move.
WINDOW_S = 0.6
_MS = 1000


class _Arrival(NamedTuple):
    at_s: float
    work_millicore_s: float


class ArrivalTracker:
    """Track the declared work of the jobs that arrive for each pool."""

    def __init__(self) -> None:
        self._recent: dict[str, deque[_Arrival]] = defaultdict(deque)

    def start_term(self) -> None:
        """Discard the arrivals seen in an earlier term."""
        self._recent.clear()

    def record(self, job: JobState, now_s: float) -> None:
        """Record a job that was accepted."""
        work = sum(
            step.task_count * step.size.millicores * step.estimate_ms / _MS
            for step in job.request.steps
            if not (step.is_long_running or step.is_best_effort)
        )
        if work and not job.request.occurrences:
            self._recent[job.queue.pool].append(_Arrival(now_s, work))

    def get_demand(self, pool: str, now_s: float) -> float:
        """Return the millicores that the jobs of a pool will use at once.

        By Little's law that is the work that arrives per second. The estimate
        is lowered by its relative standard error, so that single large jobs
        count for little.
        """
        recent = self._recent[pool]
        while recent and recent[0].at_s < now_s - WINDOW_S:
            recent.popleft()
        if not recent:
            return 0
        works = [arrival.work_millicore_s for arrival in recent]
        error = sqrt(sum(work**2 for work in works))
        return max(sum(works) - error, 0) / WINDOW_S
