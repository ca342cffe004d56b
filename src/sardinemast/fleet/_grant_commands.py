"""Commands about grants."""

from collections.abc import Mapping
from typing import NamedTuple

from sardinemast.fleet._execution import accept, execute_command
from sardinemast.fleet._state import FleetState, Grant, Outcome
from sardinemast.fleet.queries import get_remaining_limit


class GrantChange(NamedTuple):
    """Set how many requests of a team an entry incarnation may run."""

    entry: str
    incarnation: int
    team: str
    amount: int


class ChangeGrants(NamedTuple):
    """Change several grants at one log index."""

    changes: tuple[GrantChange, ...]


class HoldGrants(NamedTuple):
    """Tell an entry its current grants; an amount of 0 removes one.

    The leader sends this to the entry in place of ``ChangeGrants``.
    """

    grants: tuple[Grant, ...]


class NoteTotals(NamedTuple):
    """Tell all entries the sum of the grants of each changed team.

    The leader sends this to entries in place of ``ChangeGrants``. After a
    limit was lowered, an entry needs the sum to see that the grants exceed
    the limit, even if its own grants do not.
    """

    totals: Mapping[str, int]


@execute_command.register
def _apply_totals(command: NoteTotals, state: FleetState) -> Outcome:
    state.granted_totals.update(command.totals)
    return accept(state)


@execute_command.register
def _apply_held_grants(command: HoldGrants, state: FleetState) -> Outcome:
    for grant in command.grants:
        grant_key = (grant.entry, grant.incarnation, grant.team)
        if grant.amount > 0:
            state.grants[grant_key] = grant
        else:
            state.grants.pop(grant_key, None)
    return accept(state)


@execute_command.register
def _apply_grant_changes(command: ChangeGrants, state: FleetState) -> Outcome:
    for change in command.changes:
        _change_grant(state, change)
    return accept(state)


def _change_grant(state: FleetState, change: GrantChange) -> None:
    grant_key = (change.entry, change.incarnation, change.team)
    current_grant = state.grants.get(grant_key)
    current_amount = current_grant.amount if current_grant else 0
    # The leader may have planned this change by an older state, before the
    # limit was lowered. Cap it so that the sum of grants stays in the limit.
    remaining = max(0, get_remaining_limit(state, change.team))
    amount = min(change.amount, current_amount + remaining)
    if amount > 0:
        state.grants[grant_key] = Grant(*grant_key, amount, state.log_index)
    else:
        state.grants.pop(grant_key, None)
    total = (
        state.granted_totals.get(change.team, 0)
        + max(amount, 0)
        - current_amount
    )
    state.granted_totals[change.team] = total
