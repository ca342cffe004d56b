"""Commands on the fleet's state."""

from builders import make_document, make_fleet
from sardinemast.fleet import (
    ApplyDocument,
    ChangeGrants,
    GrantChange,
    WithdrawKey,
    apply_command,
    dump_state,
    get_free_limit,
    load_state,
)


def test_equal_versions_race() -> None:
    """Let exactly one of two changes of the same version win.

    Two operators start from the same version and both apply. If the second
    replaced the first, its change would be gone and nobody told.
    """
    state = make_fleet()
    fresh = make_document(limit=5)
    first = apply_command(state, ApplyDocument('a', 1, fresh), 4)
    second = apply_command(state, ApplyDocument('b', 1, fresh), 5)
    assert (first.is_accepted, second.code) == (True, 'fleet.E002')


def test_resend_gets_the_first_answer() -> None:
    """Answer a resent command as the first time.

    The answer to an operator is lost and the command line sends it again. A
    second run would answer that the key is unknown, as if it had failed.
    """
    state = make_fleet()
    first = apply_command(state, WithdrawKey('w', 'k1'), 4)
    assert apply_command(state, WithdrawKey('w', 'k1'), 5) == first


def test_grants_never_pass_the_limit() -> None:
    """Cut a raise that two leaders in a row have granted.

    A former leader's grant is committed after the new leader has granted the
    same part of the limit. Summed up, the team would run more than it may.
    """
    state = make_fleet(limit=3)
    for index, entry in enumerate(('entry-1', 'entry-2'), start=4):
        change = GrantChange(entry, 1, 'petits-pixels', 2)
        apply_command(state, ChangeGrants((change,)), index)
    assert get_free_limit(state, 'petits-pixels') == 0


def test_image_holds_the_whole_state() -> None:
    """A state made from an image is the same."""
    image = dump_state(make_fleet())
    assert dump_state(load_state(image)) == image
