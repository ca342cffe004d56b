"""Entries among which the holders of idempotency keys are found."""

from sardinemast.fleet import (
    FleetState,
    RegisterEntry,
    RetireEntry,
    apply_command,
    dump_state,
    load_state,
)


def test_retired_entry_stays_among_the_holders() -> None:
    """Give the same holders to whoever learns of an epoch, at any time.

    An entry is cut off and retired, and another entry learns of the log's
    newest registration only after that. If it chose the holders of a key
    among fewer entries than the others in the same epoch, both a booking and
    its resend could find a majority, and the seat would be booked twice.
    """
    state = FleetState()
    for index, name in enumerate(('entry-1', 'entry-2', 'entry-3'), start=1):
        apply_command(state, RegisterEntry(name, 7, '10.0.0.1', 9), index)
    before = dict(state.idempotency_entries)
    apply_command(state, RetireEntry('entry-2', 7), 4)
    assert state.entries.keys() == {'entry-1', 'entry-3'}
    assert load_state(dump_state(state)).idempotency_entries == before
