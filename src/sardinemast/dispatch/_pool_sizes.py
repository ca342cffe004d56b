"""How many workers each pool needs now."""

from math import ceil
from typing import NamedTuple

from sardinemast.dispatch._peaks import PeakTracker
from sardinemast.dispatch._pool_load import PoolLoad
from sardinemast.dispatch._settings import PoolPolicy

# A moved instance has a new worker after about two seconds; it has to be
# there when the peak begins.
_LEAD_S = 2.4
# So long before a pool's next peak it gets what its last one asked for. The
# rest of an instance's way falls into the first moments of the peak.
_AHEAD_S = 1.2


class PoolNeed(NamedTuple):
    """Hold a pool's usual number of workers, and the room of one."""

    usual: int
    worker_millicores: int

    @property
    def room(self) -> int:
        """Give the millicores of the usual number of workers."""
        return self.usual * self.worker_millicores


def count_needed(
    pool: str,
    load: PoolLoad,
    need: PoolNeed,
    peaks: PeakTracker,
    now_s: float,
    policy: PoolPolicy,
) -> int:
    """Give how many workers the pool should have now.

    One that was never seen to peak keeps a part of its workers: its first
    peak may come at any moment, and they carry it until others are there. So
    does one whose peak is due or late, until the queues have stopped peaking.
    Right before a peak, and in its first moments, a pool gets what the last
    one asked for.
    """
    if not need.worker_millicores:
        return need.usual
    asked = _count_asked(pool, load, need, peaks, now_s, policy)
    if not _is_expected(pool, peaks, now_s):
        return asked
    expected = _count_expected(pool, load, need, peaks, policy)
    return max(asked, min(expected, _count_most(load, need, policy)))


def _is_expected(pool: str, peaks: PeakTracker, now_s: float) -> bool:
    """Tell whether a pool's peak begins about now."""
    if peaks.is_peak(pool):
        return peaks.is_beginning(pool, now_s, _LEAD_S)
    if not peaks.has_peaked(pool) or peaks.has_stopped(now_s):
        return False
    return now_s >= peaks.get_next_start_s(pool) - _AHEAD_S


def _count_expected(
    pool: str,
    load: PoolLoad,
    need: PoolNeed,
    peaks: PeakTracker,
    policy: PoolPolicy,
) -> int:
    """Give how many workers carry the next peak, by the size of the last."""
    asked = policy.expected_factor * peaks.get_asked_share(pool) * need.room
    return ceil((max(load.lasting, 0) + asked) / need.worker_millicores)


def _count_asked(
    pool: str,
    load: PoolLoad,
    need: PoolNeed,
    peaks: PeakTracker,
    now_s: float,
    policy: PoolPolicy,
) -> int:
    size = need.worker_millicores
    more = _count_missing(load, size, policy)
    if peaks.is_peak(pool):
        more = max(more, _count_ahead(load, size, policy))
    if more > 0:
        return max(
            load.workers,
            min(load.workers + more, _count_most(load, need, policy)),
        )
    calm = _count_calm(load, size, policy)
    opening = ceil(need.usual * policy.opening_share)
    if peaks.is_peak(pool):
        # What it got from others is free for them as its work runs out.
        return min(load.workers, max(opening, calm))
    is_due = now_s >= peaks.get_next_start_s(pool) - _LEAD_S
    if is_due and not peaks.has_stopped(now_s):
        return max(opening, calm)
    return min(calm, max(need.usual, load.workers))


def _count_most(load: PoolLoad, need: PoolNeed, policy: PoolPolicy) -> int:
    # What waits after an outage, and the first step of wide jobs, ask for more
    # than is of use: they are done when those that were asked for come.
    lasting = max(load.lasting, 0) / need.worker_millicores
    # A pool that none of its instances began in has no usual number.
    usual = need.usual or load.workers
    return ceil(usual * policy.most_factor + lasting)


def _count_missing(
    load: PoolLoad,
    worker_millicores: int,
    policy: PoolPolicy,
) -> int:
    if load.missing <= policy.short_share * load.room:
        return 0
    return -(-load.missing // worker_millicores)


def _count_ahead(
    load: PoolLoad,
    worker_millicores: int,
    policy: PoolPolicy,
) -> int:
    # A worker that is lost takes its room away at once, its runs later.
    lasting = max(load.lasting, 0)
    asked = lasting + policy.rise_factor * (load.passing + load.wanted)
    return -int((load.room - asked) // worker_millicores)


def _count_calm(
    load: PoolLoad,
    worker_millicores: int,
    policy: PoolPolicy,
) -> int:
    asked = load.lasting + policy.calm_factor * (load.passing + load.wanted)
    return ceil(asked / worker_millicores) + policy.calm_spare
