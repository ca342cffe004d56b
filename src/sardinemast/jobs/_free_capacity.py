"""Free capacity of workers, indexed by pool."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import NamedTuple

from sardinemast.jobs._records import ZERO_SIZE, Worker
from sardinemast.placement import Size


class FreeMillicores(NamedTuple):
    """Order workers by free processor time, then by name."""

    millicores: int
    worker: str


class FreeCapacity:
    """Track the free capacity of each worker.

    The workers of a pool stay sorted by free processor time, so that the
    fullest one that fits a task is found by binary search.
    """

    def __init__(self) -> None:
        self._free: dict[str, Size] = {}
        self._pools: dict[str, str] = {}
        self._by_pool: dict[str, list[FreeMillicores]] = {}

    def put(self, worker: Worker, used: Size) -> None:
        """Add or update a worker."""
        self.drop(worker.name)
        free = worker.capacity.plus(used, -1)
        self._free[worker.name] = free
        self._pools[worker.name] = worker.pool
        ordered = self._by_pool.setdefault(worker.pool, [])
        insort(ordered, FreeMillicores(free.millicores, worker.name))

    def drop(self, worker: str) -> None:
        """Remove a worker, if it is known."""
        pool = self._pools.pop(worker, None)
        if pool is not None:
            free = self._free.pop(worker)
            _remove(
                self._by_pool[pool], FreeMillicores(free.millicores, worker)
            )

    def change(self, worker: str, size: Size, sign: int) -> None:
        """Release (sign 1) or reserve (sign -1) capacity of a worker."""
        free = self._free.get(worker)
        if free is None:
            return
        changed = free.plus(size, sign)
        self._free[worker] = changed
        if changed.millicores != free.millicores:
            ordered = self._by_pool[self._pools[worker]]
            _remove(ordered, FreeMillicores(free.millicores, worker))
            insort(ordered, FreeMillicores(changed.millicores, worker))

    def get(self, worker: str) -> Size:
        """Return a worker's free capacity, zero if it is unknown."""
        return self._free.get(worker, ZERO_SIZE)

    def iterate_fitting(self, pool: str, size: Size) -> Iterator[str]:
        """Yield the workers of a pool that fit a size, the fullest first."""
        ordered = self._by_pool.get(pool, [])
        first = bisect_left(ordered, FreeMillicores(size.millicores, ''))
        for item in ordered[first:]:
            if size.fits(self._free[item.worker]):
                yield item.worker

    def list_workers(self, pool: str) -> list[str]:
        """Return all workers of a pool, the fullest first."""
        return [item.worker for item in self._by_pool.get(pool, [])]

    def iterate_emptiest(self, pool: str) -> Iterator[FreeMillicores]:
        """Yield the workers of a pool, the emptiest first."""
        return reversed(self._by_pool.get(pool, []))

    def copy(self) -> 'FreeCapacity':
        """Return an independent copy, for planning."""
        copied = FreeCapacity()
        copied._free = dict(self._free)
        copied._pools = dict(self._pools)
        copied._by_pool = {
            pool: list(ordered) for pool, ordered in self._by_pool.items()
        }
        return copied


def _remove(ordered: list[FreeMillicores], item: FreeMillicores) -> None:
    ordered.pop(bisect_left(ordered, item))
