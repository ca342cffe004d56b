"""Compute how many workers each pool needs."""

from math import ceil
from typing import NamedTuple

from sardinemast.dispatch._peaks import ONSET_S, PeakTracker
from sardinemast.dispatch._pool_load import PoolLoad
from sardinemast.dispatch._settings import PoolPolicy

# Time until the worker of a moved instance is usable.
_MOVE_LEAD_S = 2.4
# How long before an expected peak a pool is resized for it. The remaining time
# of the moves falls into the start of the peak.
_PREPARE_S = 1.2


class PoolBaseline(NamedTuple):
    """Hold a pool's original number of workers and the size of one."""

    worker_count: int
    worker_millicores: int

    @property
    def capacity(self) -> int:
        """Return the millicores of the original number of workers."""
        return self.worker_count * self.worker_millicores


def count_workers_needed(
    pool: str,
    load: PoolLoad,
    baseline: PoolBaseline,
    peaks: PeakTracker,
    now_s: float,
    policy: PoolPolicy,
) -> int:
    """Return how many workers a pool should have now.

    The count follows the current load. Around the expected start of a peak it
    is at least what the start of the previous peak needed.
    """
    if not baseline.worker_millicores:
        return baseline.worker_count
    demanded = _count_for_load(pool, load, baseline, peaks, now_s, policy)
    if not _is_peak_expected(pool, peaks, now_s):
        return demanded
    expected = _count_for_peak(pool, load, baseline, peaks, policy)
    return max(
        demanded, min(expected, count_workers_max(load, baseline, policy))
    )


def count_workers_kept(
    pool: str,
    load: PoolLoad,
    baseline: PoolBaseline,
    peaks: PeakTracker,
    now_s: float,
    policy: PoolPolicy,
) -> int:
    """Return how many workers stay on for a pool's first peak.

    Until any pool has peaked, all of them do. The first peak may be like those
    of other pools: of the demand at the start of those, the pool keeps the
    quantile at which one more worker costs as much until the peak as it saves
    in late work. Zero for a pool that has peaked, which has a forecast.
    """
    if peaks.has_peaked(pool):
        return 0
    late_share = peaks.get_first_wait_s(now_s) / (policy.late_factor * ONSET_S)
    demanded = peaks.get_onset_quantile(1 - late_share)
    # Without capacity there is no size to count workers by.
    if demanded is None or not baseline.worker_millicores:
        return baseline.worker_count
    expected = _count_for_share(demanded, load, baseline)
    return min(expected, baseline.worker_count)


def _is_peak_expected(pool: str, peaks: PeakTracker, now_s: float) -> bool:
    """Check whether a peak of the pool starts about now."""
    if peaks.is_peaking(pool):
        return peaks.is_starting(pool, now_s, _MOVE_LEAD_S)
    if not peaks.has_peaked(pool) or peaks.have_peaks_ended(now_s):
        return False
    return now_s >= peaks.get_next_start_s(pool) - _PREPARE_S


def _count_for_peak(
    pool: str,
    load: PoolLoad,
    baseline: PoolBaseline,
    peaks: PeakTracker,
    policy: PoolPolicy,
) -> int:
    """Return the workers needed at the start of the next peak."""
    share = policy.expected_factor * peaks.get_onset_share(pool)
    return _count_for_share(share, load, baseline)


def _count_for_share(
    share: float,
    load: PoolLoad,
    baseline: PoolBaseline,
) -> int:
    """Return the workers for long-running tasks and a share of the baseline."""
    return ceil(
        (max(load.long_running_usage, 0) + share * baseline.capacity)
        / baseline.worker_millicores
    )


def _count_for_load(
    pool: str,
    load: PoolLoad,
    baseline: PoolBaseline,
    peaks: PeakTracker,
    now_s: float,
    policy: PoolPolicy,
) -> int:
    worker_millicores = baseline.worker_millicores
    # Whatever the shortfall, a stranded task gets a worker.
    extra = max(
        _count_shortfall(load, worker_millicores, policy),
        ceil(load.stranded / worker_millicores),
    )
    if peaks.is_peaking(pool):
        extra = max(extra, _count_headroom(load, worker_millicores, policy))
    if extra > 0:
        return max(
            load.workers,
            min(
                load.workers + extra, count_workers_max(load, baseline, policy)
            ),
        )
    calm_count = _count_for_calm(load, worker_millicores, policy)
    opening_count = ceil(baseline.worker_count * policy.opening_share)
    if peaks.is_peaking(pool):
        # As the peak fades, release workers to other pools.
        return min(load.workers, max(opening_count, calm_count))
    # A first or overdue peak may start at any time, so keep the opening share.
    is_due = now_s >= peaks.get_next_start_s(pool) - _MOVE_LEAD_S
    if is_due and not peaks.have_peaks_ended(now_s):
        return max(opening_count, calm_count)
    return min(calm_count, max(baseline.worker_count, load.workers))


def count_workers_max(
    load: PoolLoad, baseline: PoolBaseline, policy: PoolPolicy
) -> int:
    """Return the largest number of workers that a pool grows to."""
    # A backlog after an outage, or the first step of a wide job, would request
    # workers that arrive after most of the work is done.
    long_running_usage = (
        max(load.long_running_usage, 0) / baseline.worker_millicores
    )
    # The baseline is 0 if all instances of the pool came from other pools.
    worker_count = baseline.worker_count or load.workers
    return ceil(worker_count * policy.most_factor + long_running_usage)


def _count_shortfall(
    load: PoolLoad,
    worker_millicores: int,
    policy: PoolPolicy,
) -> int:
    if load.shortfall <= policy.short_share * load.capacity:
        return 0
    return -(-load.shortfall // worker_millicores)


def _count_headroom(
    load: PoolLoad,
    worker_millicores: int,
    policy: PoolPolicy,
) -> int:
    # Negative while a lost worker's capacity is gone and its runs still count.
    long_running_usage = max(load.long_running_usage, 0)
    demanded = long_running_usage + policy.rise_factor * (
        load.batch + load.queued
    )
    return -int((load.capacity - demanded) // worker_millicores)


def _count_for_calm(
    load: PoolLoad,
    worker_millicores: int,
    policy: PoolPolicy,
) -> int:
    demanded = load.long_running_usage + policy.calm_factor * (
        load.batch + load.queued
    )
    return ceil(demanded / worker_millicores) + policy.calm_spare
