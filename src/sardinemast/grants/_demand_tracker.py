"""Track the entries' demand, pending grant changes and recalls."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from sardinemast.fleet import FleetState, Grant, GrantChange
from sardinemast.grants._splitter import EntryDemand
from sardinemast.protocol import GrantRecall, GrantReturn, TeamDemand

Holder = tuple[str, int]


class GrantKey(NamedTuple):
    """Identify a grant by its holder and team."""

    entry: str
    incarnation: int
    team: str


class _PendingChange(NamedTuple):
    amount: int
    is_raise: bool


class DemandTracker:
    """Track demand, pending grant changes and recalls during one term.

    This state is not replicated. Entries report their demand to a new leader
    with their next lease renewal, and a lost recall only leaves the grant
    with its current holder.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._started_s: float = 0
        self._demands: dict[Holder, dict[str, TeamDemand]] = {}
        self._waiting_since_s: dict[GrantKey, float] = {}
        self._raised_at_s: dict[GrantKey, float] = {}
        self._pending: dict[GrantKey, _PendingChange] = {}
        self._recalls: dict[GrantKey, GrantRecall] = {}
        self._grants_by_team: dict[str, list[Grant]] = {}
        self._indexed_at = -1

    def start_term(self, now_s: float) -> None:
        """Discard everything recorded in an earlier term."""
        self._started_s = now_s
        self._demands.clear()
        self._waiting_since_s.clear()
        self._raised_at_s.clear()
        self._pending.clear()
        self._recalls.clear()

    def record_demands(
        self,
        holder: Holder,
        demands: Iterable[TeamDemand],
        now_s: float,
    ) -> set[str]:
        """Store an entry's demand; return teams it newly runs short of."""
        self._demands[holder] = {demand.team: demand for demand in demands}
        newly_short_teams: set[str] = set()
        for demand in demands:
            key = GrantKey(*holder, demand.team)
            is_short = demand.wanted > self._get_held(key)
            if is_short and key not in self._waiting_since_s:
                self._waiting_since_s[key] = now_s
                newly_short_teams.add(demand.team)
        return newly_short_teams

    def discard_expired(self, is_alive: Callable[[Holder], bool]) -> None:
        """Discard the demand of entries whose lease has expired."""
        for holder in tuple(self._demands):
            if not is_alive(holder):
                for team in self._demands.pop(holder):
                    self._waiting_since_s.pop(GrantKey(*holder, team), None)

    def accept_returns(
        self,
        holder: Holder,
        returns: Iterable[GrantReturn],
    ) -> list[GrantChange]:
        """Return the grant changes for an entry's returns.

        A return that refers to an older version of the grant is stale and is
        ignored.
        """
        changes: list[GrantChange] = []
        for returned in returns:
            key = GrantKey(*holder, returned.team)
            grant = self._state.grants.get(key)
            if (
                grant is not None
                and grant.log_index == returned.based_on_index
                and returned.amount < grant.amount
                and key not in self._pending
            ):
                changes.append(GrantChange(*key, returned.amount))
        return changes

    def record_pending(self, changes: Iterable[GrantChange]) -> None:
        """Record changes that are proposed but not yet applied."""
        for change in changes:
            key = _get_key(change)
            is_raise = change.amount > self._get_amount(key)
            self._pending[key] = _PendingChange(change.amount, is_raise)

    def record_applied(
        self,
        changes: Iterable[GrantChange],
        now_s: float,
    ) -> None:
        """Clear pending changes and recalls of grants that have changed."""
        for change in changes:
            key = _get_key(change)
            pending = self._pending.pop(key, None)
            if pending is not None and pending.is_raise:
                self._raised_at_s[key] = now_s
            self._recalls.pop(key, None)
            self._waiting_since_s.pop(key, None)

    def has_pending_change(self, key: GrantKey) -> bool:
        """Check whether a change of the grant is pending."""
        return key in self._pending

    def get_waiting_teams(self) -> set[str]:
        """Return the teams for which some entry needs a larger grant."""
        return {key.team for key in self._waiting_since_s}

    def get_unallocated(self, team: str) -> int:
        """Return the ungranted rest of the limit; negative if exceeded."""
        declared = self._state.document.teams.get(team)
        limit = declared.limit if declared else 0
        pending_raises = sum(
            max(0, change.amount - self._get_amount(key))
            for key, change in self._pending.items()
            if key.team == team
        )
        return (
            limit
            - pending_raises
            - sum(grant.amount for grant in self._list_grants(team))
        )

    def get_demands(
        self,
        team: str,
        is_alive: Callable[[Holder], bool],
    ) -> tuple[EntryDemand, ...]:
        """Return the grant and the demand of each live entry for a team."""
        return tuple(
            self._make_entry_demand(GrantKey(*holder, team), demands.get(team))
            for holder, demands in sorted(self._demands.items())
            if is_alive(holder)
        )

    def add_recall(self, key: GrantKey, amount: int) -> None:
        """Record a request to the holder to reduce a grant to an amount."""
        index = self._state.grants[key].log_index
        self._recalls[key] = GrantRecall(key.team, amount, index)

    def get_recalls(self, holder: Holder) -> tuple[GrantRecall, ...]:
        """Return the recalls that a holder has not answered yet."""
        return tuple(
            recall
            for key, recall in self._recalls.items()
            if (key.entry, key.incarnation) == holder
            and self._is_recall_pending(key)
        )

    def _make_entry_demand(
        self,
        key: GrantKey,
        demand: TeamDemand | None,
    ) -> EntryDemand:
        held = self._get_held(key)
        wanted = demand.wanted if demand else 0
        if wanted <= held:
            self._waiting_since_s.pop(key, None)
        retained = (
            self._recalls[key].amount if self._is_recall_pending(key) else held
        )
        return EntryDemand(
            key.entry,
            key.incarnation,
            held,
            min(held, retained),
            wanted,
            key not in self._pending,
            self._raised_at_s.get(key, self._started_s),
            self._waiting_since_s.get(key, self._started_s),
        )

    def _get_held(self, key: GrantKey) -> int:
        pending = self._pending.get(key)
        amount = self._get_amount(key)
        return max(amount, pending.amount) if pending else amount

    def _get_amount(self, key: GrantKey) -> int:
        grant = self._state.grants.get(key)
        return grant.amount if grant else 0

    def _is_recall_pending(self, key: GrantKey) -> bool:
        recall = self._recalls.get(key)
        grant = self._state.grants.get(key)
        return (
            recall is not None
            and grant is not None
            and grant.log_index == recall.based_on_index
        )

    def _list_grants(self, team: str) -> list[Grant]:
        if self._indexed_at != self._state.log_index:
            self._indexed_at = self._state.log_index
            by_team: dict[str, list[Grant]] = defaultdict(list)
            for grant in self._state.grants.values():
                by_team[grant.team].append(grant)
            self._grants_by_team = by_team
        return self._grants_by_team.get(team, [])


def _get_key(change: GrantChange) -> GrantKey:
    return GrantKey(change.entry, change.incarnation, change.team)
