"""Reconstruct past peaks from the jobs in the log.

A new leader has not observed any peaks itself. Without this history it would
keep extra workers in every pool until each one has peaked again.
"""

from collections import defaultdict
from collections.abc import Mapping

from sardinemast.dispatch._peaks import PeakTracker
from sardinemast.jobs import JobsState, JobState

# Resolution of the reconstructed demand; a peak lasts seconds.
_SLICE_MS = 200
# Covers several rounds of queues that peak in turns.
_HISTORY_MS = 120_000
_MS = 1000

_Demand = dict[int, float]


def replay_peaks(
    state: JobsState,
    capacities: Mapping[str, int],
    now_s: float,
    now_ms: int,
) -> PeakTracker:
    """Return a tracker fed with the estimated demand of recent jobs.

    ``capacities`` holds the baseline millicores of each pool. The work of a
    job is spread evenly over the duration of its critical path.
    """
    by_pool: dict[str, _Demand] = defaultdict(lambda: defaultdict(float))
    since_ms = now_ms - _HISTORY_MS
    for job in state.jobs.values():
        if since_ms <= job.submitted_ms <= now_ms:
            _add_job(by_pool[job.queue.pool], job)
    tracker = PeakTracker()
    for pool, demand in by_pool.items():
        capacity = capacities.get(pool, 0)
        if capacity:
            _record_slices(tracker, pool, capacity, demand, now_s, now_ms)
    return tracker


def _add_job(demand: _Demand, job: JobState) -> None:
    work = sum(
        step.task_count * step.size.millicores * step.estimate_ms
        for step in job.request.steps
        if not (step.is_long_running or step.is_best_effort)
    )
    duration_ms = max(job.critical_paths_ms)
    first_index = job.submitted_ms // _SLICE_MS
    count = duration_ms // _SLICE_MS + 1
    for slice_index in range(first_index, first_index + count):
        demand[slice_index] += work / (count * _SLICE_MS)


def _record_slices(
    tracker: PeakTracker,
    pool: str,
    capacity: int,
    demand: _Demand,
    now_s: float,
    now_ms: int,
) -> None:
    for slice_index in range(min(demand), now_ms // _SLICE_MS + 1):
        at_s = now_s - (now_ms - slice_index * _SLICE_MS) / _MS
        tracker.record(pool, demand.get(slice_index, 0) / capacity, at_s)
