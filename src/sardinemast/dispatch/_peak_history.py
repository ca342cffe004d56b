"""What the jobs in the log tell of past peaks.

A leader that knew only what it saw itself would take each pool for one that
was never seen to peak, and keep all instances on until the next round is
over: half a minute of the two users' queues, after each change of leader.
"""

from collections import defaultdict
from collections.abc import Mapping

from sardinemast.dispatch._peaks import PeakTracker
from sardinemast.jobs import JobsState, JobState

# As often as loads are measured, or a little less; a peak lasts seconds.
_SLICE_MS = 200
# Several rounds of queues that peak in turns of four to nine seconds.
_BACK_MS = 120_000
_MS = 1000

_Demand = dict[int, float]


def recall_peaks(
    state: JobsState,
    rooms: Mapping[str, int],
    now_s: float,
    now_ms: int,
) -> PeakTracker:
    """Give the peaks that the jobs of the last minutes must have caused.

    ``rooms`` holds the usual millicores of each pool. A job is taken to ask
    for its work evenly over its longest chain.
    """
    by_pool: dict[str, _Demand] = defaultdict(lambda: defaultdict(float))
    since_ms = now_ms - _BACK_MS
    for job in state.jobs.values():
        if since_ms <= job.submitted_ms <= now_ms:
            _add_job(by_pool[job.queue.pool], job)
    book = PeakTracker()
    for pool, demand in by_pool.items():
        room = rooms.get(pool, 0)
        if room:
            _note_slices(book, pool, room, demand, now_s, now_ms)
    return book


def _add_job(demand: _Demand, job: JobState) -> None:
    work = sum(
        step.task_count * step.size.millicores * step.estimate_ms
        for step in job.request.steps
        if not (step.is_long_running or step.is_best_effort)
    )
    chain_ms = max(job.critical_paths_ms)
    first = job.submitted_ms // _SLICE_MS
    count = chain_ms // _SLICE_MS + 1
    for place in range(first, first + count):
        demand[place] += work / (count * _SLICE_MS)


def _note_slices(
    book: PeakTracker,
    pool: str,
    room: int,
    demand: _Demand,
    now_s: float,
    now_ms: int,
) -> None:
    for place in range(min(demand), now_ms // _SLICE_MS + 1):
        at_s = now_s - (now_ms - place * _SLICE_MS) / _MS
        book.note(pool, demand.get(place, 0) / room, at_s)
