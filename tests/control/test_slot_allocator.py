"""Allotment of pools' slots by the leader."""

from builders import make_document
from sardinemast.control._context import ControlContext
from sardinemast.control._events import ControlOutput, SendToEntry
from sardinemast.control._sessions import EntrySessions, Session
from sardinemast.control._slot_allocator import SlotAllocator
from sardinemast.fleet import ApplyDocument, FleetState, apply_command
from sardinemast.protocol import AllotSlots, PoolUse, ReportPools, TeamUse


def test_idle_pool_is_left_to_the_entries() -> None:
    """An idle pool is not allotted.

    Guards against delaying the first request after an idle moment until the
    entry has reported it and got its allotment.
    """
    state = FleetState()
    apply_command(state, ApplyDocument('c', 0, make_document()), 1)
    outputs: list[ControlOutput] = []
    sessions = EntrySessions()
    session = Session(1, 'entry-1', 1)
    sessions.open(session)
    allocator = SlotAllocator(
        ControlContext(state, outputs, lambda *_: None, 3),
        sessions,
    )
    use = PoolUse('enrolment', 8, (TeamUse('petits-pixels', 1, 0, 0),))
    allocator.handle_report(session, ReportPools((use,)))
    allocator.tick(0)
    assert [part.slots for part in _get_last(outputs).pools] == [8]
    allocator.handle_report(session, ReportPools(()))
    allocator.tick(1)
    assert _get_last(outputs).pools == ()


def _get_last(outputs: list[ControlOutput]) -> AllotSlots:
    sent = outputs[-1]
    assert isinstance(sent, SendToEntry)
    assert isinstance(sent.message, AllotSlots)
    return sent.message
