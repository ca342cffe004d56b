"""CPU load of a pool."""

from typing import NamedTuple

from sardinemast.jobs import Worker


class PoolLoad(NamedTuple):
    """Hold the load of a pool's usable workers, in millicores.

    ``queued`` is the demand of tasks that wait, ``batch`` the usage of tasks
    that end by themselves. ``workers`` also counts cordoned workers.
    ``stranded`` is the demand of long-running tasks that find no room.
    ``idle_workers`` holds the usable workers without runs.
    """

    capacity: int = 0
    free: int = 0
    queued: int = 0
    batch: int = 0
    workers: int = 0
    idle_workers: tuple[Worker, ...] = ()
    stranded: int = 0

    @property
    def shortfall(self) -> int:
        """Return the queued demand minus the free capacity."""
        return self.queued - self.free

    @property
    def long_running_usage(self) -> int:
        """Return the usage of long-running tasks."""
        return self.capacity - self.free - self.batch


NO_LOAD = PoolLoad()
