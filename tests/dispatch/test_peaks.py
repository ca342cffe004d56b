"""Queues that peak in turns: forecast, and the size of pools.

The pattern: four pools, each asks for most of its room for 4.5 s and then for
a few hundredths until its next turn 18 s later, as the two users' queues do.
"""

from itertools import chain, repeat

from builders.workers import POOL, ModelFleet, make_step
from sardinemast.dispatch import PoolPolicy
from sardinemast.dispatch._peak_history import replay_peaks
from sardinemast.dispatch._peaks import PeakTracker
from sardinemast.dispatch._pool_load import PoolLoad
from sardinemast.dispatch._pool_sizes import PoolBaseline, count_workers_needed

_POOLS = ('a', 'b', 'c', 'd')
_TURN_S = 4.5
_STEP_S = 0.15
_BASELINE = PoolBaseline(worker_count=8, worker_millicores=64_000)
_POLICY = PoolPolicy()


def _play(tracker: PeakTracker, until_s: float, share: float = 0.9) -> None:
    tracker.pool_count = len(_POOLS)
    for step in range(round(until_s / _STEP_S)):
        now_s = step * _STEP_S
        turn = int(now_s / _TURN_S) % len(_POOLS)
        for place, pool in enumerate(_POOLS):
            tracker.record(pool, share if place == turn else 0.03, now_s)


def _count(
    pool: str, load: PoolLoad, tracker: PeakTracker, now_s: float
) -> int:
    return count_workers_needed(pool, load, _BASELINE, tracker, now_s, _POLICY)


def test_next_peak_is_known_after_one_round() -> None:
    """The first pool peaks again after a round, and so will the others."""
    tracker = PeakTracker()
    _play(tracker, 20)
    assert round(tracker.get_next_start_s('b')) in {22, 23}


def test_next_peak_is_guessed_from_two_turns() -> None:
    """Before a round is over, each pool is taken to have one turn."""
    tracker = PeakTracker()
    _play(tracker, 6)
    assert round(tracker.get_next_start_s('a')) == 18


def test_pool_that_never_peaked_keeps_what_carries_a_rise() -> None:
    """Its first peak may come at any moment.

    With nearly all of its workers switched off, parents would wait two
    seconds for them and miss their seats.
    """
    tracker = PeakTracker()
    _play(tracker, 6)
    calm = PoolLoad(capacity=512_000, free=500_000, workers=8)
    assert _count('d', calm, tracker, 6) == 4


def test_calm_pool_shrinks_and_is_back_before_its_peak() -> None:
    """Between its peaks a pool keeps one worker beyond what it runs."""
    tracker = PeakTracker()
    _play(tracker, 20)
    calm = PoolLoad(capacity=512_000, free=480_000, batch=0, workers=8)
    next_s = tracker.get_next_start_s('b')
    assert _count('b', calm, tracker, 20) == 2
    assert _count('b', calm, tracker, next_s - 2.3) == 4


def test_peak_that_rises_gets_workers_before_its_work_waits() -> None:
    """A peak has nearly filled its pool, and no task waits yet.

    Asked for once tasks wait, the workers come two seconds later, and what
    was submitted in between misses its target.
    """
    tracker = PeakTracker()
    _play(tracker, 2)
    rising = PoolLoad(capacity=512_000, free=30_000, batch=482_000, workers=8)
    assert _count('a', rising, tracker, 2) == 9


def test_pool_without_room_asks_for_what_is_missing() -> None:
    """Work for three workers more waits than the pool has room for."""
    full = PoolLoad(capacity=512_000, free=0, queued=150_000, workers=8)
    assert _count('a', full, PeakTracker(), 3) == 11


def test_pool_gets_no_more_than_twice_its_usual_workers() -> None:
    """Control was away for two seconds, and all that came meanwhile waits.

    By the time that workers for all of it have come, most of it is done. They
    were missing in the pool whose peak came next.
    """
    piled = PoolLoad(capacity=512_000, free=0, queued=1_900_000, workers=8)
    assert (
        _count('a', piled, PeakTracker(), 3) == 2 * _BASELINE.worker_count + 8
    )
    calm = piled._replace(batch=512_000)
    assert _count('a', calm, PeakTracker(), 3) == 2 * _BASELINE.worker_count
    more = calm._replace(workers=20)
    assert _count('a', more, PeakTracker(), 3) == 20


def test_pool_that_no_instance_began_in_can_grow() -> None:
    """All of its instances came from elsewhere, so that none is usual there.

    Bound by twice nothing, it got no help whatever waited for it.
    """
    full = PoolLoad(capacity=128_000, free=0, queued=64_000, workers=2)
    baseline = _BASELINE._replace(worker_count=0)
    assert (
        count_workers_needed('a', full, baseline, PeakTracker(), 3, _POLICY)
        == 3
    )


def test_pools_shrink_once_the_queues_have_stopped_peaking() -> None:
    """Traffic ends, and the peak that a pool waits for never comes.

    It kept all of its instances on, and so did the next ones, all night.
    """
    tracker = PeakTracker()
    _play(tracker, 20)
    calm = PoolLoad(capacity=512_000, free=512_000, workers=8)
    late_s = tracker.get_next_start_s('b') + 1
    assert _count('b', calm, tracker, late_s) == 8
    for step in range(100):
        for pool in _POOLS:
            tracker.record(pool, 0, late_s + step * _STEP_S)
    assert _count('b', calm, tracker, late_s + 15) == 1


def test_pool_has_what_its_last_peak_asked_for_when_the_next_one_begins() -> (
    None
):
    """A steep peak asks for all of its 14 workers at once, for 4.5 s.

    Brought in as tasks piled up, they came in its second half. The pattern:
    queues that peak in turns of 4.5 s and go from next to nothing to 1.6
    times their pool's room within a moment.
    """
    tracker = PeakTracker()
    _play(tracker, 17, share=1.6)
    calm = PoolLoad(capacity=128_000, free=128_000, workers=2)
    next_s = tracker.get_next_start_s('a')
    assert _count('a', calm, tracker, next_s - 2) == 4
    assert _count('a', calm, tracker, next_s - 1) == 15


def test_peak_that_has_just_begun_gets_what_others_asked_for() -> None:
    """A pool's first peak is as steep as those of the queues before it."""
    tracker = PeakTracker()
    _play(tracker, 2 * _TURN_S + 0.6, share=1.6)
    assert tracker.is_peaking('c')
    rising = PoolLoad(capacity=256_000, free=128_000, batch=128_000, workers=4)
    assert _count('c', rising, tracker, 2 * _TURN_S + 0.6) == 15


def test_lull_in_a_peak_begins_no_new_one() -> None:
    """For half a second few jobs come; then the peak goes on.

    Taken for a second peak, the time between the two would be the length of
    a round, and the pool would never be calm.
    """
    tracker = PeakTracker()
    tracker.pool_count = len(_POOLS)
    lengths = ((0.9, 10), (0.05, 4), (0.9, 10), (0.02, 20))
    shares = chain.from_iterable(repeat(*one) for one in lengths)
    for step, share in enumerate(shares):
        tracker.record('a', share, step * _STEP_S)
    assert tracker.get_next_start_s('a') > 5


def test_workers_lent_for_a_peak_are_free_once_its_work_runs_out() -> None:
    """The peak fades while the next pool's begins and lacks room.

    Kept until the peak was over for sure, the lent workers reached the next
    pool a second later than they could, in the middle of its peak.
    """
    tracker = PeakTracker()
    _play(tracker, 2)
    fading = PoolLoad(
        capacity=1_024_000, free=700_000, batch=324_000, workers=16
    )
    assert _count('a', fading, tracker, 2) == 12
    full = PoolLoad(capacity=1_024_000, free=244_000, batch=780_000, workers=16)
    assert _count('a', full, tracker, 2) == 16


def test_one_large_job_is_no_peak() -> None:
    """A single wide step asks for much, and is over in a moment."""
    tracker = PeakTracker()
    tracker.record('a', 0.8, 1)
    tracker.record('a', 0.8, 1.15)
    tracker.record('a', 0.02, 1.3)
    assert not tracker.has_peaked('a')


def test_next_leader_knows_a_peak_from_the_log() -> None:
    """The leader is lost after a pool has peaked and is calm again.

    The next one took it for a pool that may peak at any moment, and kept all
    of its instances on for a whole round.
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
