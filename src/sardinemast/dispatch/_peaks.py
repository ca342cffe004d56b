"""Detect peaks of each pool's demand and forecast the next ones.

Queues tend to peak in turns: high demand for some seconds, then little until
the next round. The forecast tells when a pool needs its instances again.
"""

from itertools import pairwise
from statistics import fmean

# Shares of a pool's baseline capacity at which a peak starts and ends. A peak
# demands most of the capacity, the time between peaks a few hundredths of it.
_START_SHARE = 0.35
_END_SHARE = 0.15
# Filters out single large jobs and the gaps between them.
_CONFIRM_S = 0.3
# While no period is known, the next peak is expected after this multiple of
# the last peak's duration, since other queues have their turns first.
_GAP_FACTOR = 2.0
# Demand that returns this soon after a peak belongs to the same peak.
_MERGE_GAP_S = 2.0
_STARTS_KEPT_MAX = 8
# Start of a peak, until an instance ordered at its beginning has arrived.
ONSET_S = 2.4


class _PoolPeaks:
    """Hold the peaks of one pool.

    ``crossed_since_s`` is since when the demand has been beyond the threshold
    of the next phase. ``onset_shares`` are the shares measured so far at the
    start of the current peak, and ``onset_share`` sums up the last ones.
    """

    def __init__(self) -> None:
        self.starts_s: list[float] = []
        self.last_end_s: float | None = None
        self.is_peaking = False
        self.crossed_since_s: float | None = None
        self.onset_shares: list[float] = []
        self.onset_share: float | None = None
        self.last_onset: list[float] = []


class PeakTracker:
    """Track the demand of pools and forecast their next peaks."""

    def __init__(self) -> None:
        self.pool_count = 0
        self._pools: dict[str, _PoolPeaks] = {}

    def record(self, pool: str, share: float, now_s: float) -> None:
        """Record a pool's demand as a share of its baseline capacity."""
        peaks = self._pools.setdefault(pool, _PoolPeaks())
        if peaks.is_peaking:
            _record_onset(peaks, share, now_s)
        is_crossing = share < _END_SHARE
        if not peaks.is_peaking:
            is_crossing = share >= _START_SHARE
        if not is_crossing:
            peaks.crossed_since_s = None
            return
        if peaks.crossed_since_s is None:
            peaks.crossed_since_s = now_s
        if now_s >= peaks.crossed_since_s + _CONFIRM_S:
            _switch_phase(peaks, peaks.crossed_since_s)

    def is_peaking(self, pool: str) -> bool:
        """Check whether a pool is in a peak."""
        peaks = self._pools.get(pool)
        return peaks is not None and peaks.is_peaking

    def has_peaked(self, pool: str) -> bool:
        """Check whether a pool has had a peak."""
        peaks = self._pools.get(pool)
        return peaks is not None and bool(peaks.starts_s)

    def is_starting(self, pool: str, now_s: float, lead_s: float) -> bool:
        """Check whether a pool's peak began less than ``lead_s`` ago."""
        peaks = self._pools.get(pool)
        if peaks is None or not peaks.is_peaking:
            return False
        return now_s < peaks.starts_s[-1] + lead_s

    def get_onset_share(self, pool: str) -> float:
        """Return the demand at the start of a pool's last peak.

        For a pool without one, return the mean of the other pools, or 0 if
        there is none.
        """
        peaks = self._pools.get(pool)
        if peaks is not None and peaks.onset_share is not None:
            return peaks.onset_share
        known_shares = [
            one.onset_share
            for one in self._pools.values()
            if one.onset_share is not None
        ]
        return fmean(known_shares) if known_shares else 0

    def get_onset_quantile(self, quantile: float) -> float | None:
        """Return a quantile of the demand at the start of pools' last peaks.

        Return ``None`` if no peak has been seen, and 0 for no quantile.
        """
        shares = sorted(
            share for one in self._pools.values() for share in one.last_onset
        )
        if not shares:
            return None
        if quantile <= 0:
            return 0
        place = int(quantile * len(shares))
        return shares[min(place, len(shares) - 1)]

    def get_first_wait_s(self, now_s: float) -> float:
        """Return the expected time until the first peak of a pool.

        Pools that have not peaked are assumed to do so in turn, in any order.
        """
        starts_s = [
            start_s
            for peaks in self._pools.values()
            for start_s in peaks.starts_s
        ]
        if not starts_s:
            return 0
        interval_s = max(self._get_interval_s() or 0, now_s - max(starts_s))
        peaked = sum(bool(one.starts_s) for one in self._pools.values())
        return interval_s * (max(self.pool_count - peaked, 0) + 1) / 2

    def get_next_start_s(self, pool: str) -> float:
        """Return the earliest expected start of a pool's next peak.

        A pool that has never peaked may do so at any time.
        """
        peaks = self._pools.get(pool)
        if peaks is None or not peaks.starts_s:
            return float('-inf')
        last_start_s = peaks.starts_s[-1]
        period_s = self._get_period_s()
        if period_s is not None:
            return last_start_s + period_s
        last_end_s = peaks.last_end_s or last_start_s
        return last_end_s + _GAP_FACTOR * (last_end_s - last_start_s)

    def have_peaks_ended(self, now_s: float) -> bool:
        """Check whether no pool has peaked for longer than the usual interval.

        Otherwise pools would be kept ready for a peak after traffic ends.
        """
        interval_s = self._get_interval_s()
        if interval_s is None:
            return False
        if any(peaks.is_peaking for peaks in self._pools.values()):
            return False
        last_peaks = [
            (peaks.starts_s[-1], peaks.last_end_s)
            for peaks in self._pools.values()
            if peaks.starts_s and peaks.last_end_s is not None
        ]
        longest_duration_s = max(
            last_end_s - start_s for start_s, last_end_s in last_peaks
        )
        latest_end_s = max(last_end_s for _, last_end_s in last_peaks)
        return now_s > latest_end_s + max(interval_s, longest_duration_s)

    def _get_period_s(self) -> float | None:
        """Return the time between two peaks of the same pool.

        All queues are assumed to share one period. Before it is observed, it
        is estimated from the interval between peaks of different pools.
        """
        periods = [
            later - earlier
            for peaks in self._pools.values()
            for earlier, later in pairwise(peaks.starts_s)
        ]
        if periods:
            return min(periods)
        interval_s = self._get_interval_s()
        return None if interval_s is None else interval_s * self.pool_count

    def _get_interval_s(self) -> float | None:
        """Return the mean time between consecutive peaks of any pools."""
        starts_s = sorted(
            start_s
            for peaks in self._pools.values()
            for start_s in peaks.starts_s
        )
        if len(starts_s) < 2:
            return None
        return (starts_s[-1] - starts_s[0]) / (len(starts_s) - 1)


def _switch_phase(peaks: _PoolPeaks, since_s: float) -> None:
    peaks.is_peaking = not peaks.is_peaking
    peaks.crossed_since_s = None
    if not peaks.is_peaking:
        peaks.last_end_s = since_s
        _end_onset(peaks)
        return
    last_end_s = peaks.last_end_s
    if last_end_s is None or since_s > last_end_s + _MERGE_GAP_S:
        peaks.starts_s = [*peaks.starts_s, since_s][-_STARTS_KEPT_MAX:]


def _record_onset(peaks: _PoolPeaks, share: float, now_s: float) -> None:
    if now_s < peaks.starts_s[-1] + ONSET_S:
        peaks.onset_shares.append(share)
    else:
        _end_onset(peaks)


def _end_onset(peaks: _PoolPeaks) -> None:
    if peaks.onset_shares:
        peaks.onset_share = _get_upper_mean(peaks.onset_shares)
        peaks.last_onset = peaks.onset_shares
    peaks.onset_shares = []


def _get_upper_mean(onset_shares: list[float]) -> float:
    """Return the mean of the upper half, which leaves out the ramps."""
    ordered = sorted(onset_shares)
    return fmean(ordered[len(ordered) // 2 :])
