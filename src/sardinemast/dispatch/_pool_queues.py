"""Work that waits in a pool, by its place in the order of planning."""

from bisect import bisect_left
from itertools import accumulate
from typing import NamedTuple

from sardinemast.dispatch._pool_prospects import PoolCapacity

PlanningKey = tuple[float, ...]


class StepWork(NamedTuple):
    """Hold a step's place in the order of planning, and its work.

    From ``late_from_ms`` on it is late and has the place ``late_key``.
    """

    key: PlanningKey
    millicore_ms: float
    late_key: PlanningKey
    late_from_ms: float


class PoolQueue:
    """Hold the capacity of a pool and the work that waits for it.

    ``running`` is what is left of the work that runs, in millicore
    milliseconds.
    """

    def __init__(self, capacity: PoolCapacity) -> None:
        self.capacity = capacity
        self.running: float = 0
        self._works: list[StepWork] = []
        self._sums: list[float] = [0]

    def add(self, work: StepWork) -> None:
        """Add the waiting tasks of a step."""
        self._works.append(work)

    def sort(self, now_ms: float) -> None:
        """Order the work, once all of it is added.

        Work that will not start before it is late gives way to the work
        behind it, and is ordered among the late work.
        """
        self._works.sort()
        amount: float = 0
        for place, work in enumerate(self._works):
            start_ms = now_ms + self.capacity.get_drain_ms(
                self.running + amount
            )
            if start_ms > work.late_from_ms:
                self._works[place] = work._replace(key=work.late_key)
            else:
                amount += work.millicore_ms
        self._works.sort()
        amounts = (one.millicore_ms for one in self._works)
        self._sums = list(accumulate(amounts, initial=0))

    def get_ahead(self, key: PlanningKey) -> float:
        """Return the work that is planned before a key or runs now."""
        place = bisect_left(self._works, key, key=_get_key)
        return self.running + self._sums[place]


def _get_key(work: StepWork) -> PlanningKey:
    return work.key
