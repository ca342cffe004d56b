"""Workers of each pool in the order of their free processors."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import NamedTuple

from sardinemast.jobs._records import ZERO_SIZE, Worker
from sardinemast.placement import Size


class FreePlace(NamedTuple):
    """Hold what a worker has free, to be sorted by."""

    millicores: int
    worker: str


class FreeCapacity:
    """Hold what each worker has free, and follow each change.

    A pool's workers stay sorted, so that the fullest one with room for a
    task is found without a look at all others.
    """

    def __init__(self) -> None:
        self._free: dict[str, Size] = {}
        self._pools: dict[str, str] = {}
        self._places: dict[str, list[FreePlace]] = {}

    def put(self, worker: Worker, used: Size) -> None:
        """Take in a worker, or what has changed of it."""
        self.drop(worker.name)
        free = worker.capacity.plus(used, -1)
        self._free[worker.name] = free
        self._pools[worker.name] = worker.pool
        places = self._places.setdefault(worker.pool, [])
        insort(places, FreePlace(free.millicores, worker.name))

    def drop(self, worker: str) -> None:
        """Forget a worker, if it is known."""
        pool = self._pools.pop(worker, None)
        if pool is not None:
            free = self._free.pop(worker)
            _remove(self._places[pool], FreePlace(free.millicores, worker))

    def change(self, worker: str, size: Size, sign: int) -> None:
        """Give room back with 1, or take it with -1."""
        free = self._free.get(worker)
        if free is None:
            return
        changed = free.plus(size, sign)
        self._free[worker] = changed
        if changed.millicores != free.millicores:
            places = self._places[self._pools[worker]]
            _remove(places, FreePlace(free.millicores, worker))
            insort(places, FreePlace(changed.millicores, worker))

    def get(self, worker: str) -> Size:
        """Give what a worker has free, nothing where it is not known."""
        return self._free.get(worker, ZERO_SIZE)

    def iterate_fitting(self, pool: str, size: Size) -> Iterator[str]:
        """Give the workers with room for a size, the fullest one first."""
        places = self._places.get(pool, [])
        first = bisect_left(places, FreePlace(size.millicores, ''))
        for place in places[first:]:
            if size.fits(self._free[place.worker]):
                yield place.worker

    def list_workers(self, pool: str) -> list[str]:
        """Give all workers of a pool."""
        return [place.worker for place in self._places.get(pool, [])]

    def copy(self) -> 'FreeCapacity':
        """Give a picture that may be changed while a plan is made."""
        copied = FreeCapacity()
        copied._free = dict(self._free)
        copied._pools = dict(self._pools)
        copied._places = {
            pool: list(places) for pool, places in self._places.items()
        }
        return copied


def _remove(places: list[FreePlace], place: FreePlace) -> None:
    places.pop(bisect_left(places, place))
