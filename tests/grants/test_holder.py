"""Tests of how an entry uses and returns its grants."""

from builders.teams import TEAM, make_setup_commands
from sardinemast.fleet import (
    ApplyDocument,
    ChangeGrants,
    FleetState,
    GrantChange,
    apply_command,
)
from sardinemast.grants import GrantHolder
from sardinemast.protocol import GrantRecall, GrantReturn


def test_returned_units_are_not_used() -> None:
    """Guard against using units whose return is not applied yet."""
    state = _make_state(3)
    holder = GrantHolder('entry-1', 1)
    holder.record_recalls((GrantRecall(TEAM, 1, state.log_index),))
    returned = GrantReturn(TEAM, 2, state.log_index)
    assert holder.build_returns(state, lambda team: 2) == (returned,)
    holder.record_recalls((GrantRecall(TEAM, 3, state.log_index),))
    assert holder.get_usable(state, TEAM) == 2
    assert holder.build_returns(state, lambda team: 0) == (returned,)
    _grant(state, 3)
    assert holder.get_usable(state, TEAM) == 3


def test_nothing_starts_above_lowered_limit() -> None:
    """Guard against exceeding a limit that has just been lowered."""
    state = _make_state(3)
    holder = GrantHolder('entry-1', 1)
    lowered = state.document.teams[TEAM]._replace(limit=2)
    document = state.document._replace(teams={TEAM: lowered})
    apply_command(state, ApplyDocument('d', 1, document), 9)
    assert holder.get_usable(state, TEAM) == 0
    returns = holder.build_returns(state, lambda team: 1)
    assert [returned.amount for returned in returns] == [1]


def test_stopping_entry_returns_unused_grants() -> None:
    """Guard against a stopping entry that blocks the limit for others."""
    state = _make_state(3)
    holder = GrantHolder('entry-1', 1)
    holder.start_returning_grants()
    returns = holder.build_returns(state, lambda team: 1)
    assert [returned.amount for returned in returns] == [1]


def _make_state(amount: int) -> FleetState:
    state = FleetState()
    for index, command in enumerate(make_setup_commands(3), start=1):
        apply_command(state, command, index)
    _grant(state, amount)
    return state


def _grant(state: FleetState, amount: int) -> None:
    change = GrantChange('entry-1', 1, TEAM, amount)
    apply_command(state, ChangeGrants((change,)), state.log_index + 1)
