"""Golden session of an entry."""

from builders import Session, check_golden, make_announcement, make_fleet
from builders.fleets import KEY_DIGEST
from sardinemast import entry
from sardinemast.admission import Arrival
from sardinemast.fleet import (
    ChangeGrants,
    GrantChange,
    apply_command,
    dump_state,
)
from sardinemast.protocol import LeaseGranted, RosterChanged, StateReplaced


def test_requests_share_limit_of_one() -> None:
    """Guard against exceeding a limit of one, and against late starts."""
    state = make_fleet(limit=1)
    change = GrantChange('entry-1', 7, 'petits-pixels', 1)
    apply_command(state, ChangeGrants((change,)), 4)
    core = entry.EntryCore(entry.EntrySettings('entry-1', 7, 'rennes'))
    session = Session(core.step)
    session.note('Without a lease a request is refused.')
    session.step(_arrive(1), 0)
    session.step(entry.ControlReceived(StateReplaced(dump_state(state))), 0.1)
    roster = RosterChanged((make_announcement(),))
    session.step(entry.ControlReceived(roster), 0.1)
    session.step(entry.ControlReceived(LeaseGranted(0.1, 3.0)), 0.1)
    session.note('The limit is 1: request 2 runs, request 3 waits.')
    session.step(_arrive(2), 0.2)
    session.step(_arrive(3), 0.3)
    session.step(_ended(2), 0.4)
    session.note('Request 4 cannot start before its deadline.')
    session.step(_arrive(4, deadline_s=0.5), 0.5)
    session.step(entry.Tick(), 1.1)
    session.step(_ended(3), 1.2)
    check_golden('entry_limit_of_one', session.transcript)


def _arrive(request_id: int, deadline_s: float = 2.0) -> entry.RequestArrived:
    return entry.RequestArrived(
        Arrival(request_id, 'enrolment', KEY_DIGEST, False, deadline_s, 10),
    )


def _ended(request_id: int) -> entry.AttemptEnded:
    return entry.AttemptEnded(request_id, entry.AttemptResult.answered)
