"""How many workers each pool needs now."""

from typing import NamedTuple

from sardinemast.dispatch._loads import PoolLoad
from sardinemast.dispatch._peaks import PeakBook

# A moved instance has a new worker after about two seconds; it has to be
# there when the peak begins.
_LEAD_S = 2.4
# So much of its room a pool lacks before it is helped in a peak. Less is made
# good by the tasks that end in the meantime.
_SHORT_SHARE = 0.15
# A peak goes from nothing to more than a pool holds in 1.2 s, half of the time
# that an instance needs to come. So in a peak room is kept for this much more
# than is asked for now.
_RISE_FACTOR = 1.3
# Between peaks a pool keeps room for some times what it runs, and one worker
# more, so that the few tasks that come find room at once.
_CALM_FACTOR = 2.0
_CALM_SPARE = 1


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
    peaks: PeakBook,
    now_s: float,
) -> int:
    """Give how many workers the pool should have now.

    One that was never seen to peak keeps all of its workers: its first peak
    may come at any moment, and is lost by the time that others are there. So
    does one whose peak is late, until the queues have stopped peaking.
    """
    size = need.worker_millicores
    if not size:
        return need.usual
    more = _count_missing(load, size)
    if peaks.is_peak(pool):
        more = max(more, _count_ahead(load, size))
    if more > 0:
        return load.workers + more
    calm = _count_calm(load, size)
    if peaks.is_peak(pool):
        # What it got from others is free for them as its work runs out.
        return min(load.workers, max(need.usual, calm))
    is_due = now_s >= peaks.get_next_start_s(pool) - _LEAD_S
    if is_due and not peaks.has_stopped(now_s):
        return need.usual
    return min(calm, max(need.usual, load.workers))


def _count_missing(load: PoolLoad, worker_millicores: int) -> int:
    if load.missing <= _SHORT_SHARE * load.room:
        return 0
    return -(-load.missing // worker_millicores)


def _count_ahead(load: PoolLoad, worker_millicores: int) -> int:
    # A worker that is lost takes its room away at once, its runs later.
    lasting = max(load.lasting, 0)
    asked = lasting + _RISE_FACTOR * (load.passing + load.wanted)
    return -int((load.room - asked) // worker_millicores)


def _count_calm(load: PoolLoad, worker_millicores: int) -> int:
    asked = load.lasting + _CALM_FACTOR * (load.passing + load.wanted)
    return -int(-asked // worker_millicores) + _CALM_SPARE
