"""Slots of each pool that are allotted to this entry."""

from collections import Counter
from collections.abc import Iterable

from sardinemast.fleet import FleetState, get_pool
from sardinemast.membership import Announcement, UpstreamStatus
from sardinemast.protocol import PoolAllotment


class SlotAllotments:
    """Count the slots of pools and hold the leader's allotments.

    Allotments are not replicated in the log: exceeding a pool's slots for a
    moment slows an upstream but breaks no guarantee, so that it does not
    justify a commit for each change.
    """

    def __init__(self, site: str) -> None:
        self._site = site
        self._announcements: tuple[Announcement, ...] = ()
        self._allotments: dict[str, int] = {}
        self._counted_at: tuple[FleetState, int] | None = None
        self._capacities: dict[str, int] = {}

    def replace_roster(self, announcements: tuple[Announcement, ...]) -> None:
        """Replace the known upstreams."""
        self._announcements = announcements
        self._counted_at = None

    def replace_allotments(self, pools: Iterable[PoolAllotment]) -> None:
        """Replace this entry's allotments by the leader's latest ones."""
        self._allotments = {one.pool: one.slots for one in pools}

    def count_capacity(self, state: FleetState, pool_name: str) -> int:
        """Count the slots of all serving upstreams of a pool."""
        version = (state, state.log_index)
        if version != self._counted_at:
            self._counted_at = version
            self._capacities = self._count_all(state)
        return self._capacities.get(pool_name, 0)

    def get_slots(self, state: FleetState, pool_name: str) -> int:
        """Return how many requests may run in the pool through this entry.

        Without an allotment an entry uses an even split, so that it serves at
        once.
        """
        capacity = self.count_capacity(state, pool_name)
        slots = self._allotments.get(pool_name)
        if slots is None:
            slots = max(1, capacity // max(1, len(state.entries)))
        return min(slots, capacity)

    def _count_all(self, state: FleetState) -> dict[str, int]:
        serving: Counter[str] = Counter()
        for one in self._announcements:
            instance = state.instances.get(one.instance)
            if (
                one.status is UpstreamStatus.serving
                and instance is not None
                and instance.pool == one.pool
            ):
                serving[one.pool] += 1
        capacities: dict[str, int] = {}
        for name, count in serving.items():
            pool = get_pool(state, name, self._site)
            capacities[name] = count * pool.slots if pool else 0
        return capacities
