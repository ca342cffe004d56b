"""The holder's side of grants: what may be used, and what goes back."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from sardinemast.fleet import FleetState, Grant
from sardinemast.protocol import GrantRecall, GrantReturn


class _Bound(NamedTuple):
    log_index: int
    amount: int


class GrantHolder:
    """Know how much of its grants an entry incarnation may use.

    A return binds the holder from the moment it is sent. The leader may apply
    it any time later, also after the stream was lost, and give the amount to
    another entry; work started in between would bring the team above its
    limit. The binding ends when the log shows a newer amount.
    """

    def __init__(self, entry: str, incarnation: int) -> None:
        self._place = (entry, incarnation)
        self._returned: dict[str, _Bound] = {}
        self._recalled: dict[str, _Bound] = {}
        self._seen_state: tuple[FleetState, int] | None = None
        self._grants: dict[str, Grant] = {}
        self._closed_teams: set[str] = set()
        self._usable: dict[str, int] = {}
        self._bound_teams: set[str] = set()
        self._is_leaving = False

    def get_usable(self, state: FleetState, team: str) -> int:
        """Give how much this entry may have running for the team."""
        self._read(state)
        return self._usable.get(team, 0)

    def get_usable_teams(self, state: FleetState) -> dict[str, int]:
        """Give the teams that this entry holds a grant of, with its use."""
        self._read(state)
        return self._usable

    def start_returning_grants(self) -> None:
        """Give back all that is idle from now on.

        Grants of an entry that stops would else lie idle until its lease and
        the longest permitted run have passed.
        """
        self._is_leaving = True
        self._seen_state = None

    def holds_any(self, state: FleetState) -> bool:
        """Tell whether the log has grants of this holder."""
        self._read(state)
        return bool(self._grants)

    def take_recalls(self, recalls: Iterable[GrantRecall]) -> None:
        """Note what the leader asks back."""
        for recall in recalls:
            self._recalled[recall.team] = _Bound(
                recall.based_on_index,
                recall.amount,
            )
            self._refresh(recall.team)

    def make_returns(
        self,
        state: FleetState,
        count_running: Callable[[str], int],
    ) -> tuple[GrantReturn, ...]:
        """Give what goes back now, and again what is not applied yet."""
        self._read(state)
        if not self._bound_teams:
            return ()
        grants = (self._grants[team] for team in sorted(self._bound_teams))
        return tuple(
            GrantReturn(grant.team, left, grant.log_index)
            for grant in grants
            if (left := self._bind(grant, count_running)) < grant.amount
        )

    def _bind(
        self,
        grant: Grant,
        count_running: Callable[[str], int],
    ) -> int:
        target = _cut(grant, self._recalled)
        if grant.team in self._closed_teams:
            target = 0
        left = min(
            max(target, count_running(grant.team)),
            _cut(grant, self._returned),
        )
        if left < grant.amount:
            self._returned[grant.team] = _Bound(grant.log_index, left)
            self._refresh(grant.team)
        return left

    def _read(self, state: FleetState) -> None:
        seen = (state, state.log_index)
        if seen == self._seen_state:
            return
        self._seen_state = seen
        self._grants = {
            grant.team: grant
            for grant in state.grants.values()
            if (grant.entry, grant.incarnation) == self._place
        }
        self._closed_teams = {
            team
            for team in self._grants
            if self._is_leaving
            or state.granted_totals.get(team, 0) > _get_limit(state, team)
        }
        self._usable.clear()
        self._bound_teams.clear()
        for team in self._grants:
            self._refresh(team)

    def _refresh(self, team: str) -> None:
        grant = self._grants.get(team)
        if grant is None:
            return
        bound = min(_cut(grant, self._returned), _cut(grant, self._recalled))
        is_closed = team in self._closed_teams
        # Nothing starts while more is granted than a lowered limit: who else
        # runs what is not known here, and together it may be more.
        self._usable[team] = 0 if is_closed else bound
        if is_closed or bound < grant.amount:
            self._bound_teams.add(team)


def _get_limit(state: FleetState, team: str) -> int:
    declared = state.document.teams.get(team)
    return declared.limit if declared else 0


def _cut(grant: Grant, bounds: dict[str, _Bound]) -> int:
    bound = bounds.get(grant.team)
    if bound is None or bound.log_index != grant.log_index:
        return grant.amount
    return min(grant.amount, bound.amount)
