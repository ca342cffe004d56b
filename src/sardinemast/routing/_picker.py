"""Choose the upstream with most free slots."""

from sardinemast.fleet import FleetState, get_pool
from sardinemast.membership import Announcement, UpstreamStatus


class UpstreamPicker:
    """Count this entry's requests at each upstream and choose among them."""

    def __init__(self, site: str) -> None:
        self._site = site
        self._announcements: dict[str, Announcement] = {}
        self._running: dict[str, int] = {}

    def replace_roster(self, announcements: tuple[Announcement, ...]) -> None:
        """Take the upstreams that are there now."""
        self._announcements = {one.instance: one for one in announcements}

    def choose(self, state: FleetState, pool_name: str) -> Announcement | None:
        """Give the serving upstream of the pool that is least used."""
        pool = get_pool(state, pool_name, self._site)
        if pool is None:
            return None
        usable = [
            one
            for one in self._announcements.values()
            if self._is_usable(state, one, pool_name)
            and self._running.get(one.instance, 0) < pool.slots
        ]
        if not usable:
            return None
        return min(usable, key=self._rank)

    def start(self, instance: str) -> None:
        """Count a request as running at an upstream."""
        self._running[instance] = self._running.get(instance, 0) + 1

    def end(self, instance: str) -> None:
        """Count a request as ended at an upstream."""
        self._running[instance] -= 1

    def _rank(self, one: Announcement) -> tuple[bool, int, str]:
        is_far = one.data_centre != self._site
        return (is_far, self._running.get(one.instance, 0), one.instance)

    def _is_usable(
        self,
        state: FleetState,
        one: Announcement,
        pool_name: str,
    ) -> bool:
        # Both the log and the upstream must name the pool. An instance that
        # was moved while its announcement was under way would otherwise get
        # work of the pool that it has left.
        placed = state.instances.get(one.instance)
        return (
            one.status is UpstreamStatus.serving
            and one.pool == pool_name
            and placed is not None
            and placed.pool == pool_name
        )
