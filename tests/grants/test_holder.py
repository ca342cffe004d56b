"""The holder's side of grants."""

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


def test_return_binds_before_it_is_applied() -> None:
    """What was given back is not used while the log still shows it.

    An entry gives units back, and its stream is slow. Requests come in
    before the leader has applied the return. Started on the old amount they
    would run beside those of the entry that gets the units.
    """
    state = _make_state(3)
    holder = GrantHolder('entry-1', 1)
    holder.take_recalls((GrantRecall(TEAM, 1, state.log_index),))
    returned = GrantReturn(TEAM, 2, state.log_index)
    assert holder.make_returns(state, lambda team: 2) == (returned,)
    holder.take_recalls((GrantRecall(TEAM, 3, state.log_index),))
    assert holder.get_usable(state, TEAM) == 2
    assert holder.make_returns(state, lambda team: 0) == (returned,)
    _grant(state, 3)
    assert holder.get_usable(state, TEAM) == 3


def test_nothing_starts_while_too_much_is_granted() -> None:
    """After a limit went down, idle units go back and nothing starts."""
    state = _make_state(3)
    holder = GrantHolder('entry-1', 1)
    lowered = state.document.teams[TEAM]._replace(limit=2)
    document = state.document._replace(teams={TEAM: lowered})
    apply_command(state, ApplyDocument('d', 1, document), 9)
    assert holder.get_usable(state, TEAM) == 0
    returns = holder.make_returns(state, lambda team: 1)
    assert [returned.amount for returned in returns] == [1]


def test_leaving_entry_gives_back_what_is_idle() -> None:
    """An entry that stops returns its grants, but for what still runs.

    An entry is stopped for maintenance. Without the return its part of each
    limit lies idle until its lease and the longest run have passed, and the
    teams' callers wait at the other entries meanwhile.
    """
    state = _make_state(3)
    holder = GrantHolder('entry-1', 1)
    holder.start_returning_grants()
    returns = holder.make_returns(state, lambda team: 1)
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
