"""Application of commands to the fleet's state."""

from builders import make_document, make_fleet
from sardinemast.fleet import (
    ApplyDocument,
    ChangeGrants,
    GrantChange,
    WithdrawKey,
    apply_command,
    dump_state,
    get_remaining_limit,
    load_state,
)


def test_concurrent_changes_of_a_version_conflict() -> None:
    """The second of two changes of a version must not undo the first."""
    state = make_fleet()
    document = make_document(limit=5)
    first = apply_command(state, ApplyDocument('a', 1, document), 4)
    second = apply_command(state, ApplyDocument('b', 1, document), 5)
    assert (first.is_accepted, second.code) == (
        True,
        'fleet.E002',
    )


def test_resend_gets_the_first_outcome() -> None:
    """A command resent after a lost answer must not seem to have failed."""
    state = make_fleet()
    first = apply_command(state, WithdrawKey('w', 'k1'), 4)
    assert apply_command(state, WithdrawKey('w', 'k1'), 5) == first


def test_grants_never_exceed_the_limit() -> None:
    """Two leaders that grant the same part of a limit must not exceed it.

    A grant of the former leader may be committed after that of the new one.
    """
    state = make_fleet(limit=3)
    for index, entry in enumerate(('entry-1', 'entry-2'), start=4):
        change = GrantChange(entry, 1, 'petits-pixels', 2)
        apply_command(state, ChangeGrants((change,)), index)
    assert get_remaining_limit(state, 'petits-pixels') == 0


def test_restored_snapshot_equals_the_state() -> None:
    """A snapshot must not lack any part of the state."""
    image = dump_state(make_fleet())
    assert dump_state(load_state(image)) == image
