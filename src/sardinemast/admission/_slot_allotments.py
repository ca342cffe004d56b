"""This entry's part of each pool's slots."""

from collections import Counter
from collections.abc import Iterable

from sardinemast.fleet import FleetState, get_pool
from sardinemast.membership import Announcement, UpstreamStatus
from sardinemast.protocol import PoolAllotment


class SlotAllotments:
    """Count a pool's slots, and hold the part that the leader allotted.

    The allotment lives in the leader's memory and not in the log: to exceed
    a pool's slots for a moment makes an upstream slower and breaks no
    promise, so it is not worth a commit for each change.
    """

    def __init__(self, site: str) -> None:
        self._site = site
        self._announcements: tuple[Announcement, ...] = ()
        self._parts: dict[str, int] = {}
        self._counted_at: tuple[FleetState, int] | None = None
        self._capacities: dict[str, int] = {}

    def replace_roster(self, announcements: tuple[Announcement, ...]) -> None:
        """Take the upstreams that are there now."""
        self._announcements = announcements
        self._counted_at = None

    def replace_allotments(self, pools: Iterable[PoolAllotment]) -> None:
        """Take this entry's parts."""
        self._parts = {one.pool: one.slots for one in pools}

    def count_capacity(self, state: FleetState, pool_name: str) -> int:
        """Count the slots of all upstreams that serve a pool."""
        seen = (state, state.log_index)
        if seen != self._counted_at:
            self._counted_at = seen
            self._capacities = self._count_all(state)
        return self._capacities.get(pool_name, 0)

    def get_slots(self, state: FleetState, pool_name: str) -> int:
        """Give how much may run in the pool through this entry.

        An entry that the leader has not allotted anything yet takes an even
        part, so that it serves at once.
        """
        capacity = self.count_capacity(state, pool_name)
        part = self._parts.get(pool_name)
        if part is None:
            part = max(1, capacity // max(1, len(state.entries)))
        return min(part, capacity)

    def _count_all(self, state: FleetState) -> dict[str, int]:
        serving: Counter[str] = Counter()
        for one in self._announcements:
            placed = state.instances.get(one.instance)
            if (
                one.status is UpstreamStatus.serving
                and placed is not None
                and placed.pool == one.pool
            ):
                serving[one.pool] += 1
        capacities: dict[str, int] = {}
        for name, count in serving.items():
            pool = get_pool(state, name, self._site)
            capacities[name] = count * pool.slots if pool else 0
        return capacities
