"""Release the grants of entry incarnations that have ended."""

from collections.abc import Callable
from typing import NamedTuple

from sardinemast.fleet import FleetDocument, FleetState, GrantChange


def plan_releases(
    state: FleetState,
    get_end_s: Callable[[str, int], float],
    now_s: float,
) -> list[GrantChange]:
    """Return the changes that release grants of ended entry incarnations.

    ``get_end_s`` returns when an entry incarnation's lease and the longest
    permitted run after it have passed. An earlier release would let another
    entry start work while the old work still runs, exceeding the team's
    limit.
    """
    holders = {(held.entry, held.incarnation) for held in state.grants.values()}
    ended = {holder for holder in holders if get_end_s(*holder) <= now_s}
    if not ended:
        return []
    return [
        GrantChange(grant.entry, grant.incarnation, grant.team, 0)
        for grant in state.grants.values()
        if (grant.entry, grant.incarnation) in ended
    ]


class _ReplacedBound(NamedTuple):
    bound_s: float
    until_s: float


class RunBoundTracker:
    """Track the longest permitted run, including replaced documents.

    A request keeps the run bound in force when it started. If that was
    longer than the current one, a release by the current one would come while
    the request still runs.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._current_s: float = 0
        self._newly_replaced_s: list[float] = []
        self._replaced: list[_ReplacedBound] = []

    def record_document(self, document: FleetDocument) -> None:
        """Record a new document as the one in force."""
        self._newly_replaced_s.append(self._current_s)
        self._current_s = _get_longest_run_s(document)

    def get_longest_run_s(self, now_s: float) -> float:
        """Return the longest duration of any run that may be in progress."""
        self._replaced.extend(
            _ReplacedBound(bound_s, now_s + self._lease_s + bound_s)
            for bound_s in self._newly_replaced_s
        )
        self._newly_replaced_s.clear()
        self._replaced = [
            bound for bound in self._replaced if bound.until_s > now_s
        ]
        replaced = (bound.bound_s for bound in self._replaced)
        return max((self._current_s, *replaced))


def _get_longest_run_s(document: FleetDocument) -> float:
    pools = [
        *document.pools.values(),
        *(
            pool
            for site_pools_by_name in document.site_pools.values()
            for pool in site_pools_by_name.values()
        ),
    ]
    return max((pool.run_bound_s for pool in pools), default=0)
