"""Entries among which the holders of idempotency keys are chosen."""

from sardinemast.fleet import (
    FleetState,
    RegisterEntry,
    RetireEntry,
    apply_command,
    dump_state,
    load_state,
)


def test_retired_entry_stays_a_candidate_holder() -> None:
    """All entries must choose the same holders of a key in an epoch.

    If one ignored a retired entry, a request and its resend could each get a
    majority of different holders, and run twice.
    """
    state = FleetState()
    for index, name in enumerate(('entry-1', 'entry-2', 'entry-3'), start=1):
        apply_command(state, RegisterEntry(name, 7, '10.0.0.1', 9), index)
    registered = dict(state.idempotency_entries)
    apply_command(state, RetireEntry('entry-2', 7), 4)
    assert state.entries.keys() == {'entry-1', 'entry-3'}
    assert load_state(dump_state(state)).idempotency_entries == registered
