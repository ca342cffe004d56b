"""How much a pool has, uses and wants of processors."""

from typing import NamedTuple

from sardinemast.jobs import Worker


class PoolLoad(NamedTuple):
    """Hold a pool's millicores: all, free, and wanted by ready tasks.

    ``empty`` are usable workers that run nothing.
    """

    room: int = 0
    free: int = 0
    wanted: int = 0
    empty: tuple[Worker, ...] = ()

    @property
    def missing(self) -> int:
        """Give what is wanted beyond what is free, below 0 what is left."""
        return self.wanted - self.free


NO_LOAD = PoolLoad()
