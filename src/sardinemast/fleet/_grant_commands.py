"""Commands about grants."""

from collections.abc import Mapping
from typing import NamedTuple

from sardinemast.fleet._execution import accept, execute_command
from sardinemast.fleet._state import FleetState, Grant, Outcome
from sardinemast.fleet.queries import get_free_limit


class GrantChange(NamedTuple):
    """Set what one entry incarnation may have running for a team."""

    entry: str
    incarnation: int
    team: str
    amount: int


class ChangeGrants(NamedTuple):
    """Change several grants at one index."""

    changes: tuple[GrantChange, ...]


class HoldGrants(NamedTuple):
    """Tell an entry what it holds now; an amount of 0 is none.

    Only the leader sends this, as the result of a change in the log.
    """

    grants: tuple[Grant, ...]


class NoteTotals(NamedTuple):
    """Tell all entries how much of teams' limits is granted in all.

    Only the leader sends this, as the result of a change in the log. After a
    limit went down, an entry whose own grants are within it must know that
    others hold the rest, or together they start more than the limit.
    """

    totals: Mapping[str, int]


@execute_command.register
def _note_totals(command: NoteTotals, state: FleetState) -> Outcome:
    state.granted_totals.update(command.totals)
    return accept(state)


@execute_command.register
def _hold_grants(command: HoldGrants, state: FleetState) -> Outcome:
    for grant in command.grants:
        place = (grant.entry, grant.incarnation, grant.team)
        if grant.amount > 0:
            state.grants[place] = grant
        else:
            state.grants.pop(place, None)
    return accept(state)


@execute_command.register
def _apply_grants(command: ChangeGrants, state: FleetState) -> Outcome:
    for change in command.changes:
        _change_grant(state, change)
    return accept(state)


def _change_grant(state: FleetState, change: GrantChange) -> None:
    place = (change.entry, change.incarnation, change.team)
    known = state.grants.get(place)
    held = known.amount if known else 0
    # The leader splits by the state it has; a command of a former leader may
    # be applied after the limit went down. Raising past the limit here would
    # let a team run more than it may, so the raise is cut to what is free.
    free = max(0, get_free_limit(state, change.team))
    amount = min(change.amount, held + free)
    if amount > 0:
        state.grants[place] = Grant(*place, amount, state.log_index)
    else:
        state.grants.pop(place, None)
    total = state.granted_totals.get(change.team, 0) + max(amount, 0) - held
    state.granted_totals[change.team] = total
