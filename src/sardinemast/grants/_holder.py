"""Track the grants of one entry: usable amounts, recalls and returns."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from sardinemast.fleet import FleetState, Grant
from sardinemast.protocol import GrantRecall, GrantReturn


class _Cap(NamedTuple):
    log_index: int
    amount: int


class GrantHolder:
    """Decide how much of its grants an entry incarnation may use.

    A return takes effect at the holder as soon as it is sent. The leader may
    apply it at any later time, even after the stream is lost, and grant the
    amount to another entry; starting work on it in the meantime would exceed
    the team's limit. The restriction ends when the grant changes in the log.
    """

    def __init__(self, entry: str, incarnation: int) -> None:
        self._own_key = (entry, incarnation)
        self._return_caps: dict[str, _Cap] = {}
        self._recall_caps: dict[str, _Cap] = {}
        self._seen_version: tuple[FleetState, int] | None = None
        self._grants: dict[str, Grant] = {}
        self._blocked_teams: set[str] = set()
        self._usable: dict[str, int] = {}
        self._reducible_teams: set[str] = set()
        self._is_returning_all = False

    def get_usable(self, state: FleetState, team: str) -> int:
        """Return how many requests of the team may run at this entry."""
        self._sync(state)
        return self._usable.get(team, 0)

    def get_usable_by_team(self, state: FleetState) -> dict[str, int]:
        """Return the usable amount of each team that has a grant here."""
        self._sync(state)
        return self._usable

    def start_returning_grants(self) -> None:
        """Return all unused grants from now on.

        Otherwise the grants of a stopping entry would stay unused until its
        lease and the longest permitted run have passed.
        """
        self._is_returning_all = True
        self._seen_version = None

    def holds_any(self, state: FleetState) -> bool:
        """Check whether the log holds any grant of this entry."""
        self._sync(state)
        return bool(self._grants)

    def record_recalls(self, recalls: Iterable[GrantRecall]) -> None:
        """Record the leader's requests to reduce grants."""
        for recall in recalls:
            self._recall_caps[recall.team] = _Cap(
                recall.based_on_index,
                recall.amount,
            )
            self._update_usable(recall.team)

    def build_returns(
        self,
        state: FleetState,
        count_running: Callable[[str], int],
    ) -> tuple[GrantReturn, ...]:
        """Return the due returns, repeating those not yet applied."""
        self._sync(state)
        if not self._reducible_teams:
            return ()
        grants = (self._grants[team] for team in sorted(self._reducible_teams))
        return tuple(
            GrantReturn(grant.team, remaining, grant.log_index)
            for grant in grants
            if (remaining := self._reduce(grant, count_running)) < grant.amount
        )

    def _reduce(
        self,
        grant: Grant,
        count_running: Callable[[str], int],
    ) -> int:
        target = _apply_cap(grant, self._recall_caps)
        if grant.team in self._blocked_teams:
            target = 0
        remaining = min(
            max(target, count_running(grant.team)),
            _apply_cap(grant, self._return_caps),
        )
        if remaining < grant.amount:
            self._return_caps[grant.team] = _Cap(grant.log_index, remaining)
            self._update_usable(grant.team)
        return remaining

    def _sync(self, state: FleetState) -> None:
        seen = (state, state.log_index)
        if seen == self._seen_version:
            return
        self._seen_version = seen
        self._grants = {
            grant.team: grant
            for grant in state.grants.values()
            if (grant.entry, grant.incarnation) == self._own_key
        }
        self._blocked_teams = {
            team
            for team in self._grants
            if self._is_returning_all
            or state.granted_totals.get(team, 0) > _get_limit(state, team)
        }
        self._usable.clear()
        self._reducible_teams.clear()
        for team in self._grants:
            self._update_usable(team)

    def _update_usable(self, team: str) -> None:
        grant = self._grants.get(team)
        if grant is None:
            return
        cap = min(
            _apply_cap(grant, self._return_caps),
            _apply_cap(grant, self._recall_caps),
        )
        is_blocked = team in self._blocked_teams
        # While the grants add up to more than a lowered limit, nothing may
        # start: the work running at other entries is unknown here, and the
        # total could exceed the limit.
        self._usable[team] = 0 if is_blocked else cap
        if is_blocked or cap < grant.amount:
            self._reducible_teams.add(team)


def _get_limit(state: FleetState, team: str) -> int:
    declared = state.document.teams.get(team)
    return declared.limit if declared else 0


def _apply_cap(grant: Grant, caps: dict[str, _Cap]) -> int:
    cap = caps.get(grant.team)
    if cap is None or cap.log_index != grant.log_index:
        return grant.amount
    return min(grant.amount, cap.amount)
