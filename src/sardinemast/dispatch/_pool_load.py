"""How much a pool has, uses and wants of processors."""

from typing import NamedTuple

from sardinemast.jobs import Worker


class PoolLoad(NamedTuple):
    """Hold a pool's millicores: all, free, and wanted by ready tasks.

    ``passing`` is what tasks take that end by themselves, ``empty`` are
    usable workers that run nothing.
    """

    room: int = 0
    free: int = 0
    wanted: int = 0
    passing: int = 0
    workers: int = 0
    empty: tuple[Worker, ...] = ()

    @property
    def missing(self) -> int:
        """Give what is wanted beyond what is free, below 0 what is left."""
        return self.wanted - self.free

    @property
    def lasting(self) -> int:
        """Give what tasks take that do not end by themselves."""
        return self.room - self.free - self.passing


NO_LOAD = PoolLoad()
