"""Plan changes of grants; the log decides whether they happen."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sardinemast.fleet import FleetState, GrantChange, get_free_limit
from sardinemast.protocol import GrantReturn, TeamDemand


class EntryWish(NamedTuple):
    """Hold what one entry incarnation asks for and gives back."""

    entry: str
    incarnation: int
    demands: tuple[TeamDemand, ...]
    returns: tuple[GrantReturn, ...]


def plan_changes(state: FleetState, wish: EntryWish) -> list[GrantChange]:
    """Answer one entry's wish from what is free."""
    returned = {one.team: one for one in wish.returns}
    changes = [
        GrantChange(wish.entry, wish.incarnation, one.team, one.amount)
        for one in wish.returns
        if _is_current(state, wish, one)
    ]
    for demand in wish.demands:
        if demand.team not in returned:
            changes.extend(_plan_raise(state, wish, demand))
    return changes


def plan_releases(
    state: FleetState,
    dead_until_s: Mapping[tuple[str, int], float],
    now_s: float,
) -> list[GrantChange]:
    """Release the grants of entry incarnations that surely run nothing.

    ``dead_until_s`` tells for each entry incarnation that has no stream when
    its lease and the longest permitted run have passed. A release before that
    would let another entry start work while the old work still runs, and the
    team would pass its limit.
    """
    return [
        GrantChange(grant.entry, grant.incarnation, grant.team, 0)
        for grant in state.grants.values()
        if _is_past(dead_until_s, grant.entry, grant.incarnation, now_s)
    ]


def _is_past(
    dead_until_s: Mapping[tuple[str, int], float],
    entry: str,
    incarnation: int,
    now_s: float,
) -> bool:
    until_s = dead_until_s.get((entry, incarnation))
    return until_s is not None and until_s <= now_s


def _is_current(
    state: FleetState,
    wish: EntryWish,
    returned: GrantReturn,
) -> bool:
    grant = state.grants.get((wish.entry, wish.incarnation, returned.team))
    return grant is not None and grant.log_index == returned.based_on_index


def _plan_raise(
    state: FleetState,
    wish: EntryWish,
    demand: TeamDemand,
) -> Iterable[GrantChange]:
    grant = state.grants.get((wish.entry, wish.incarnation, demand.team))
    held = grant.amount if grant else 0
    more = min(demand.wanted - held, get_free_limit(state, demand.team))
    if more > 0:
        yield GrantChange(
            wish.entry,
            wish.incarnation,
            demand.team,
            held + more,
        )
