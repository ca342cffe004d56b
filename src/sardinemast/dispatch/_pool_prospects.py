"""Capacity that a pool has and may still get."""

from collections import Counter
from typing import NamedTuple

from sardinemast.dispatch._pool_load import PoolLoad
from sardinemast.dispatch._pool_sizes import PoolBaseline, count_workers_max
from sardinemast.dispatch._settings import PoolPolicy

# Time until the worker of an instance that is ordered now is usable.
_MOVE_LEAD_MS = 2400


class PoolProspect(NamedTuple):
    """Hold how many workers a pool gets, and the millicores of one.

    ``incoming`` are on their way, ``most`` is how many it may have at once.
    """

    worker_millicores: int = 0
    incoming: int = 0
    most: int = 0


class PoolCapacity(NamedTuple):
    """Hold the millicores for tasks that end by themselves.

    ``now`` includes workers on their way, ``later`` those that may be ordered.
    """

    now: float
    later: float

    def get_drain_ms(self, work: float) -> float:
        """Return how long so many millicore milliseconds of work take."""
        early_work = self.now * _MOVE_LEAD_MS
        if work <= early_work:
            return work / self.now if work else 0
        if self.later <= 0:
            return float('inf')
        return _MOVE_LEAD_MS + (work - early_work) / self.later


def list_prospects(
    loads: dict[str, PoolLoad],
    baselines: dict[str, PoolBaseline],
    policy: PoolPolicy,
    incoming: Counter[str],
    standby_count: int | None,
) -> dict[str, PoolProspect]:
    """Return what each pool may get, up to its largest size.

    Idle workers of other pools count. A ``standby_count`` that is not known
    yet bounds nothing.
    """
    idle_count = sum(len(load.idle_workers) for load in loads.values())
    prospects: dict[str, PoolProspect] = {}
    for pool, load in loads.items():
        # A pool whose workers are all gone has no size to count by.
        if not baselines[pool].worker_millicores:
            continue
        most = count_workers_max(load, baselines[pool], policy)
        arriving = load.workers + incoming[pool]
        if standby_count is not None:
            free_count = standby_count + idle_count - len(load.idle_workers)
            most = min(most, arriving + free_count)
        prospects[pool] = PoolProspect(
            baselines[pool].worker_millicores,
            incoming[pool],
            max(most, arriving),
        )
    return prospects
