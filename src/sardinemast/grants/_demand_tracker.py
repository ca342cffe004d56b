"""The leader's record of what entries want and what is on its way."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from sardinemast.fleet import FleetState, Grant, GrantChange
from sardinemast.grants._planner import EntryDemand
from sardinemast.protocol import GrantRecall, GrantReturn, TeamDemand

Holder = tuple[str, int]


class GrantKey(NamedTuple):
    """Name a grant by its holder and team."""

    entry: str
    incarnation: int
    team: str


class _Planned(NamedTuple):
    amount: int
    is_raise: bool


class DemandTracker:
    """Hold demand, planned changes and recalls of one term.

    Only the leader's memory holds this. A new leader hears all demand again
    within a renewal, and a recall that is forgotten only leaves a unit where
    it is.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._started_s: float = 0
        self._demands: dict[Holder, dict[str, TeamDemand]] = {}
        self._waiting_s: dict[GrantKey, float] = {}
        self._raised_s: dict[GrantKey, float] = {}
        self._planned: dict[GrantKey, _Planned] = {}
        self._recalls: dict[GrantKey, GrantRecall] = {}
        self._by_team: dict[str, list[Grant]] = {}
        self._read_index = -1

    def start_term(self, now_s: float) -> None:
        """Forget what was known and planned in a former term."""
        self._started_s = now_s
        self._demands.clear()
        self._waiting_s.clear()
        self._raised_s.clear()
        self._planned.clear()
        self._recalls.clear()

    def record_demands(
        self,
        holder: Holder,
        demands: Iterable[TeamDemand],
        now_s: float,
    ) -> set[str]:
        """Take what an entry wants, and give the teams it newly waits for."""
        self._demands[holder] = {demand.team: demand for demand in demands}
        newly_short: set[str] = set()
        for demand in demands:
            key = GrantKey(*holder, demand.team)
            is_short = demand.wanted > self._get_held(key)
            if is_short and key not in self._waiting_s:
                self._waiting_s[key] = now_s
                newly_short.add(demand.team)
        return newly_short

    def discard_expired(self, is_alive: Callable[[Holder], bool]) -> None:
        """Forget what entries without a lease wanted."""
        for holder in tuple(self._demands):
            if not is_alive(holder):
                for team in self._demands.pop(holder):
                    self._waiting_s.pop(GrantKey(*holder, team), None)

    def accept_returns(
        self,
        holder: Holder,
        returns: Iterable[GrantReturn],
    ) -> list[GrantChange]:
        """Give the changes for what an entry gives back.

        A return of an older amount than the log has crossed a newer change
        and changes nothing.
        """
        changes: list[GrantChange] = []
        for returned in returns:
            key = GrantKey(*holder, returned.team)
            grant = self._state.grants.get(key)
            if (
                grant is not None
                and grant.log_index == returned.based_on_index
                and returned.amount < grant.amount
                and key not in self._planned
            ):
                changes.append(GrantChange(*key, returned.amount))
        return changes

    def record_pending(self, changes: Iterable[GrantChange]) -> None:
        """Note changes that are on their way into the log."""
        for change in changes:
            key = _get_key(change)
            is_raise = change.amount > self._get_amount(key)
            self._planned[key] = _Planned(change.amount, is_raise)

    def record_applied(
        self,
        changes: Iterable[GrantChange],
        now_s: float,
    ) -> None:
        """Let the holders of applied changes be planned for again."""
        for change in changes:
            key = _get_key(change)
            planned = self._planned.pop(key, None)
            if planned is not None and planned.is_raise:
                self._raised_s[key] = now_s
            self._recalls.pop(key, None)
            self._waiting_s.pop(key, None)

    def has_pending_change(self, key: GrantKey) -> bool:
        """Tell whether a change of the grant is on its way."""
        return key in self._planned

    def get_waiting_teams(self) -> set[str]:
        """Give the teams for which an entry waits."""
        return {key.team for key in self._waiting_s}

    def get_unallocated(self, team: str) -> int:
        """Give what may still be granted; negative when too much is."""
        declared = self._state.document.teams.get(team)
        limit = declared.limit if declared else 0
        planned = sum(
            max(0, one.amount - self._get_amount(key))
            for key, one in self._planned.items()
            if key.team == team
        )
        return limit - planned - sum(one.amount for one in self._list(team))

    def get_needs(
        self,
        team: str,
        is_alive: Callable[[Holder], bool],
    ) -> tuple[EntryDemand, ...]:
        """Give what each living entry holds and wants of a team."""
        return tuple(
            self._get_need(GrantKey(*holder, team), demands.get(team))
            for holder, demands in sorted(self._demands.items())
            if is_alive(holder)
        )

    def add_recall(self, key: GrantKey, amount: int) -> None:
        """Note that a grant is asked back down to an amount."""
        index = self._state.grants[key].log_index
        self._recalls[key] = GrantRecall(key.team, amount, index)

    def get_recalls(self, holder: Holder) -> tuple[GrantRecall, ...]:
        """Give what a holder is asked for and has not answered."""
        return tuple(
            recall
            for key, recall in self._recalls.items()
            if (key.entry, key.incarnation) == holder and self._is_open(key)
        )

    def _get_need(
        self,
        key: GrantKey,
        demand: TeamDemand | None,
    ) -> EntryDemand:
        held = self._get_held(key)
        wanted = demand.wanted if demand else 0
        if wanted <= held:
            self._waiting_s.pop(key, None)
        kept = self._recalls[key].amount if self._is_open(key) else held
        return EntryDemand(
            key.entry,
            key.incarnation,
            held,
            min(held, kept),
            wanted,
            key not in self._planned,
            self._raised_s.get(key, self._started_s),
            self._waiting_s.get(key, self._started_s),
        )

    def _get_held(self, key: GrantKey) -> int:
        planned = self._planned.get(key)
        amount = self._get_amount(key)
        return max(amount, planned.amount) if planned else amount

    def _get_amount(self, key: GrantKey) -> int:
        grant = self._state.grants.get(key)
        return grant.amount if grant else 0

    def _is_open(self, key: GrantKey) -> bool:
        recall = self._recalls.get(key)
        grant = self._state.grants.get(key)
        return (
            recall is not None
            and grant is not None
            and grant.log_index == recall.based_on_index
        )

    def _list(self, team: str) -> list[Grant]:
        if self._read_index != self._state.log_index:
            self._read_index = self._state.log_index
            by_team: dict[str, list[Grant]] = defaultdict(list)
            for grant in self._state.grants.values():
                by_team[grant.team].append(grant)
            self._by_team = by_team
        return self._by_team.get(team, [])


def _get_key(change: GrantChange) -> GrantKey:
    return GrantKey(change.entry, change.incarnation, change.team)
