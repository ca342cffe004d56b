"""Test the forecast of peaks and the size of pools.

Four pools peak in turns: each demands most of its capacity for 4.5 s, then
little until its next peak 18 s later.
"""

from itertools import chain, repeat

from builders.workers import POOL, ModelFleet, make_step
from sardinemast.dispatch import PoolPolicy
from sardinemast.dispatch._peak_history import replay_peaks
from sardinemast.dispatch._peaks import PeakTracker
from sardinemast.dispatch._pool_load import PoolLoad
from sardinemast.dispatch._pool_sizes import (
    PoolBaseline,
    count_workers_kept,
    count_workers_needed,
)

_POOLS = ('a', 'b', 'c', 'd')
_PEAK_S = 4.5
_STEP_S = 0.15
_BASELINE = PoolBaseline(worker_count=8, worker_millicores=64_000)
_POLICY = PoolPolicy()


def _record_peaks(
    tracker: PeakTracker, until_s: float, share: float = 0.9
) -> None:
    tracker.pool_count = len(_POOLS)
    for step in range(round(until_s / _STEP_S)):
        now_s = step * _STEP_S
        peaking_index = int(now_s / _PEAK_S) % len(_POOLS)
        for index, pool in enumerate(_POOLS):
            tracker.record(
                pool, share if index == peaking_index else 0.03, now_s
            )


def _count(
    pool: str, load: PoolLoad, tracker: PeakTracker, now_s: float
) -> int:
    return count_workers_needed(pool, load, _BASELINE, tracker, now_s, _POLICY)


def test_next_peak_is_forecast_after_one_period() -> None:
    """Derive the period of all pools from the first one that repeats."""
    tracker = PeakTracker()
    _record_peaks(tracker, 20)
    assert round(tracker.get_next_start_s('b')) in {22, 23}


def test_next_peak_is_estimated_from_two_peaks() -> None:
    """Estimate the period before any pool has repeated its peak."""
    tracker = PeakTracker()
    _record_peaks(tracker, 6)
    assert round(tracker.get_next_start_s('a')) == 18


def test_pool_without_peak_keeps_opening_share() -> None:
    """Keep the opening share for a first peak, which may come at any time."""
    tracker = PeakTracker()
    _record_peaks(tracker, 6)
    calm = PoolLoad(capacity=512_000, free=500_000, workers=8)
    assert _count('d', calm, tracker, 6) == 4


def _count_kept(tracker: PeakTracker, now_s: float) -> int:
    calm = PoolLoad(capacity=512_000, free=500_000, workers=8)
    return count_workers_kept('d', calm, _BASELINE, tracker, now_s, _POLICY)


def test_workers_stay_on_until_a_peak_is_known() -> None:
    """Keep all workers on while nothing tells what a peak asks."""
    assert _count_kept(PeakTracker(), 3) == 8


def test_workers_stay_on_for_a_steep_first_peak() -> None:
    """Keep all workers on if other pools needed theirs at once.

    The pattern: square peaks in turn, each shorter than two moves.
    """
    tracker = PeakTracker()
    _record_peaks(tracker, 6, share=1.6)
    assert _count_kept(tracker, 6) == 8


def test_workers_do_not_stay_on_for_a_distant_first_peak() -> None:
    """Keep fewer workers the longer a first peak is likely to take.

    The pattern: pools that peak in turns of half a minute.
    """
    tracker = PeakTracker()
    _record_peaks(tracker, 4, share=1.6)
    assert _count_kept(tracker, 4) == 8
    assert _count_kept(tracker, 30) < 8


def test_workers_of_a_pool_that_peaked_do_not_stay_on() -> None:
    """Leave a pool with a known period to the forecast of its next peak."""
    tracker = PeakTracker()
    _record_peaks(tracker, 20)
    assert _count_kept(tracker, 20) == 0


def test_pool_shrinks_between_peaks() -> None:
    """Keep few workers between peaks and more shortly before the next one."""
    tracker = PeakTracker()
    _record_peaks(tracker, 20)
    calm = PoolLoad(capacity=512_000, free=480_000, batch=0, workers=8)
    next_s = tracker.get_next_start_s('b')
    assert _count('b', calm, tracker, 20) == 2
    assert _count('b', calm, tracker, next_s - 2.3) == 4


def test_rising_peak_gets_workers_before_tasks_wait() -> None:
    """Add workers when a peak has nearly filled the pool, before tasks wait."""
    tracker = PeakTracker()
    _record_peaks(tracker, 2)
    rising = PoolLoad(capacity=512_000, free=30_000, batch=482_000, workers=8)
    assert _count('a', rising, tracker, 2) == 9


def test_full_pool_grows_by_its_shortfall() -> None:
    """Add as many workers as the queued tasks need."""
    full = PoolLoad(capacity=512_000, free=0, queued=150_000, workers=8)
    assert _count('a', full, PeakTracker(), 3) == 11


def test_pool_size_is_limited_to_twice_the_baseline() -> None:
    """Limit the growth of a pool by a backlog after an outage.

    The workers would arrive late and be missing in other pools.
    """
    backlog = PoolLoad(capacity=512_000, free=0, queued=1_900_000, workers=8)
    assert (
        _count('a', backlog, PeakTracker(), 3) == 2 * _BASELINE.worker_count + 8
    )
    calm = backlog._replace(batch=512_000)
    assert _count('a', calm, PeakTracker(), 3) == 2 * _BASELINE.worker_count
    larger = calm._replace(workers=20)
    assert _count('a', larger, PeakTracker(), 3) == 20


def test_pool_without_baseline_can_grow() -> None:
    """Let a pool with a baseline of 0 grow beyond its present workers."""
    full = PoolLoad(capacity=128_000, free=0, queued=64_000, workers=2)
    baseline = _BASELINE._replace(worker_count=0)
    assert (
        count_workers_needed('a', full, baseline, PeakTracker(), 3, _POLICY)
        == 3
    )


def test_pools_shrink_after_peaks_have_ended() -> None:
    """Release the workers kept for a peak once traffic has ended."""
    tracker = PeakTracker()
    _record_peaks(tracker, 20)
    calm = PoolLoad(capacity=512_000, free=512_000, workers=8)
    late_s = tracker.get_next_start_s('b') + 1
    assert _count('b', calm, tracker, late_s) == 8
    for step in range(100):
        for pool in _POOLS:
            tracker.record(pool, 0, late_s + step * _STEP_S)
    assert _count('b', calm, tracker, late_s + 15) == 1


def test_pool_is_sized_for_expected_peak() -> None:
    """Size a pool for a steep peak before it starts, not while tasks queue up.

    The peaks rise at once to 1.6 times the pool's capacity.
    """
    tracker = PeakTracker()
    _record_peaks(tracker, 17, share=1.6)
    calm = PoolLoad(capacity=128_000, free=128_000, workers=2)
    next_s = tracker.get_next_start_s('a')
    assert _count('a', calm, tracker, next_s - 2) == 4
    assert _count('a', calm, tracker, next_s - 1) == 15


def test_first_peak_is_sized_by_other_pools() -> None:
    """Size a pool's first peak by the peaks of the other pools."""
    tracker = PeakTracker()
    _record_peaks(tracker, 2 * _PEAK_S + 0.6, share=1.6)
    assert tracker.is_peaking('c')
    rising = PoolLoad(capacity=256_000, free=128_000, batch=128_000, workers=4)
    assert _count('c', rising, tracker, 2 * _PEAK_S + 0.6) == 15


def test_short_gap_does_not_end_peak() -> None:
    """Count a peak with a gap of half a second as one peak.

    Otherwise the gap would be taken for the period.
    """
    tracker = PeakTracker()
    tracker.pool_count = len(_POOLS)
    lengths = ((0.9, 10), (0.05, 4), (0.9, 10), (0.02, 20))
    shares = chain.from_iterable(repeat(*one) for one in lengths)
    for step, share in enumerate(shares):
        tracker.record('a', share, step * _STEP_S)
    assert tracker.get_next_start_s('a') > 5


def test_fading_peak_releases_workers() -> None:
    """Release workers while a peak fades, not only after it has ended."""
    tracker = PeakTracker()
    _record_peaks(tracker, 2)
    fading = PoolLoad(
        capacity=1_024_000, free=700_000, batch=324_000, workers=16
    )
    assert _count('a', fading, tracker, 2) == 12
    full = PoolLoad(capacity=1_024_000, free=244_000, batch=780_000, workers=16)
    assert _count('a', full, tracker, 2) == 16


def test_single_large_job_is_no_peak() -> None:
    """Ignore a demand that is high only for a moment."""
    tracker = PeakTracker()
    tracker.record('a', 0.8, 1)
    tracker.record('a', 0.8, 1.15)
    tracker.record('a', 0.02, 1.3)
    assert not tracker.has_peaked('a')


def test_new_leader_learns_peaks_from_log() -> None:
    """Reconstruct past peaks after a change of leader.

    Otherwise the pool would keep extra workers until its next peak.
    """
    fleet = ModelFleet(2)
    for number in range(40):
        fleet.submit(f'job-{number}', make_step(4))
        fleet.run(0.1)
    fleet.run(5)
    fleet.elect()
    capacities = {POOL: 8_000}
    tracker = replay_peaks(fleet.state, capacities, fleet.now_s, fleet.now_ms)
    assert tracker.has_peaked(POOL)
    assert not tracker.is_peaking(POOL)
    assert tracker.get_next_start_s(POOL) > fleet.now_s


def test_pool_without_capacity_is_counted() -> None:
    """Guard against leaders that end as long as such a pool has workers."""
    tracker = PeakTracker()
    _record_peaks(tracker, 6)
    idle = PoolLoad(0, 0, 0, 0, workers=1, idle_workers=())
    baseline = PoolBaseline(worker_count=1, worker_millicores=0)
    for count in (count_workers_kept, count_workers_needed):
        assert count('e', idle, baseline, tracker, 6, _POLICY) == 1
