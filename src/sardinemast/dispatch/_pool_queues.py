"""Work that waits in a pool, by its place in the order of planning."""

from bisect import bisect_left
from itertools import accumulate
from typing import NamedTuple

from sardinemast.dispatch._pool_prospects import PoolCapacity

PlanningKey = tuple[float, ...]


class StepWork(NamedTuple):
    """Hold a step's place in the order of planning, and its work."""

    key: PlanningKey
    millicore_ms: float


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

    def sort(self) -> None:
        """Order the work, once all of it is added."""
        self._works.sort()
        amounts = (work.millicore_ms for work in self._works)
        self._sums = list(accumulate(amounts, initial=0))

    def get_ahead(self, key: PlanningKey) -> float:
        """Return the work that is planned before a key or runs now."""
        place = bisect_left(self._works, key, key=_get_key)
        return self.running + self._sums[place]


def _get_key(work: StepWork) -> PlanningKey:
    return work.key
