"""When each pool's queue peaks, and when it will again.

Queues peak in turns: each asks about five times its mean for some seconds,
and next to nothing until its next turn. The peaks seen so far tell when a
pool needs its instances, and when they may be switched off between.
"""

from itertools import pairwise
from statistics import fmean

# A peak asks for most of a pool's room, the time between for a few hundredths.
_BEGIN_SHARE = 0.35
_END_SHARE = 0.15
# Shorter ups and downs are single large jobs, and gaps between them.
_STEADY_S = 0.3
# While no period is known, a pool is not expected to peak again sooner than
# after so many times its last peak: there is a turn of another queue between.
_GAP_PEAKS = 2.0
# Work that comes again so soon after a peak is still the same one: a few
# seconds of few jobs happen in the middle of it.
_REJOIN_S = 2.0
_KEPT = 8
# What is asked for by the time that an instance ordered at the peak's start
# could have come.
_RISE_S = 2.4


class _Pool:
    """Hold the peaks of one pool.

    ``shares`` are those that the first moments of its peak ask for, while it
    lasts, and ``asked_share`` is what they came to in its last whole peak.
    """

    def __init__(self) -> None:
        self.starts_s: list[float] = []
        self.ended_s: float | None = None
        self.is_peak = False
        self.turned_s: float | None = None
        self.shares: list[float] = []
        self.asked_share: float | None = None


class PeakTracker:
    """Follow pools' demand, and forecast their next peaks."""

    def __init__(self) -> None:
        self.pool_count = 0
        self._pools: dict[str, _Pool] = {}

    def note(self, pool: str, share: float, now_s: float) -> None:
        """Take which share of its room a pool's work asks for."""
        known = self._pools.setdefault(pool, _Pool())
        if known.is_peak and now_s < known.starts_s[-1] + _RISE_S:
            known.shares.append(share)
        is_turning = share < _END_SHARE
        if not known.is_peak:
            is_turning = share >= _BEGIN_SHARE
        if not is_turning:
            known.turned_s = None
            return
        if known.turned_s is None:
            known.turned_s = now_s
        if now_s >= known.turned_s + _STEADY_S:
            _turn(known, known.turned_s)

    def is_peak(self, pool: str) -> bool:
        """Tell whether a pool peaks now."""
        known = self._pools.get(pool)
        return known is not None and known.is_peak

    def has_peaked(self, pool: str) -> bool:
        """Tell whether a pool has been seen to peak."""
        known = self._pools.get(pool)
        return known is not None and bool(known.starts_s)

    def is_beginning(self, pool: str, now_s: float, lead_s: float) -> bool:
        """Tell whether a pool's peak has begun within the last moments."""
        known = self._pools.get(pool)
        if known is None or not known.is_peak:
            return False
        return now_s < known.starts_s[-1] + lead_s

    def get_asked_share(self, pool: str) -> float:
        """Give which share of its room the first moments of a peak ask for.

        That of a pool without a whole peak is the mean of the others', or 0
        where nothing is known.
        """
        known = self._pools.get(pool)
        if known is not None and known.asked_share is not None:
            return known.asked_share
        seen = [
            one.asked_share
            for one in self._pools.values()
            if one.asked_share is not None
        ]
        return fmean(seen) if seen else 0

    def get_next_start_s(self, pool: str) -> float:
        """Give when the pool's next peak begins at the earliest.

        A pool that was never seen to peak may do so at any moment.
        """
        known = self._pools.get(pool)
        if known is None or not known.starts_s:
            return float('-inf')
        last_s = known.starts_s[-1]
        period_s = self._get_period_s()
        if period_s is not None:
            return last_s + period_s
        ended_s = known.ended_s or last_s
        return ended_s + _GAP_PEAKS * (ended_s - last_s)

    def has_stopped(self, now_s: float) -> bool:
        """Tell whether no pool has peaked for as long as a turn lasts.

        One queue's peak follows another's. Pools that wait for a peak beyond
        that would stay at their full size all night.
        """
        turn_s = self._get_turn_s()
        if turn_s is None:
            return False
        if any(known.is_peak for known in self._pools.values()):
            return False
        peaks = [
            (known.starts_s[-1], known.ended_s)
            for known in self._pools.values()
            if known.starts_s and known.ended_s is not None
        ]
        longest_s = max(ended_s - start_s for start_s, ended_s in peaks)
        last_s = max(ended_s for _, ended_s in peaks)
        return now_s > last_s + max(turn_s, longest_s)

    def _get_period_s(self) -> float | None:
        """Give the time from one peak of a pool to its next.

        All queues go round together, so that what one pool has shown holds
        for the others too. Before that, each pool is taken to have one turn
        as long as those seen.
        """
        periods = [
            later - earlier
            for known in self._pools.values()
            for earlier, later in pairwise(known.starts_s)
        ]
        if periods:
            return min(periods)
        turn_s = self._get_turn_s()
        return None if turn_s is None else turn_s * self.pool_count

    def _get_turn_s(self) -> float | None:
        """Give the mean time from one pool's peak to the next one's.

        A peak is noticed up to a second early or late, by which large jobs
        come first; the mean evens that out.
        """
        starts_s = sorted(
            start_s
            for known in self._pools.values()
            for start_s in known.starts_s
        )
        if len(starts_s) < 2:
            return None
        return (starts_s[-1] - starts_s[0]) / (len(starts_s) - 1)


def _turn(known: _Pool, since_s: float) -> None:
    known.is_peak = not known.is_peak
    known.turned_s = None
    if not known.is_peak:
        known.ended_s = since_s
        if known.shares:
            known.asked_share = _get_upper_mean(known.shares)
        known.shares = []
        return
    ended_s = known.ended_s
    if ended_s is None or since_s > ended_s + _REJOIN_S:
        known.starts_s = [*known.starts_s, since_s][-_KEPT:]


def _get_upper_mean(shares: list[float]) -> float:
    """Give the mean of the upper half, without the rise and the end."""
    ordered = sorted(shares)
    return fmean(ordered[len(ordered) // 2 :])
