"""Release the grants of entry incarnations that surely run nothing."""

from collections.abc import Callable
from typing import NamedTuple

from sardinemast.fleet import FleetDocument, FleetState, GrantChange


def plan_releases(
    state: FleetState,
    get_dead_until_s: Callable[[str, int], float],
    now_s: float,
) -> list[GrantChange]:
    """Release the grants of entry incarnations that surely run nothing.

    ``get_dead_until_s`` tells for an entry incarnation when its lease and
    the longest permitted run have passed. A release before that would let
    another entry start work while the old work still runs, and the team
    would pass its limit.
    """
    holders = {(one.entry, one.incarnation) for one in state.grants.values()}
    dead = {holder for holder in holders if get_dead_until_s(*holder) <= now_s}
    if not dead:
        return []
    return [
        GrantChange(grant.entry, grant.incarnation, grant.team, 0)
        for grant in state.grants.values()
        if (grant.entry, grant.incarnation) in dead
    ]


class _FormerBound(NamedTuple):
    bound_s: float
    until_s: float


class RunBoundTracker:
    """Know the longest permitted run, also of documents just replaced.

    A request that started under a longer bound goes on by that bound. A
    release by the new, shorter one would come while it still runs.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._current_s: float = 0
        self._fresh: list[float] = []
        self._former: list[_FormerBound] = []

    def record_document(self, document: FleetDocument) -> None:
        """Take the document that is in place now."""
        self._fresh.append(self._current_s)
        self._current_s = _get_longest_run_s(document)

    def get_longest_run_s(self, now_s: float) -> float:
        """Give the longest run that may be under way."""
        self._former.extend(
            _FormerBound(bound_s, now_s + self._lease_s + bound_s)
            for bound_s in self._fresh
        )
        self._fresh.clear()
        self._former = [one for one in self._former if one.until_s > now_s]
        former = (one.bound_s for one in self._former)
        return max((self._current_s, *former))


def _get_longest_run_s(document: FleetDocument) -> float:
    pools = [
        *document.pools.values(),
        *(
            pool
            for of_site in document.site_pools.values()
            for pool in of_site.values()
        ),
    ]
    return max((pool.run_bound_s for pool in pools), default=0)
