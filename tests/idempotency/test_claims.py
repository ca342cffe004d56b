"""What becomes of a resend."""

import pytest

from builders.claims import BOUND_S, NAMES, Entries
from sardinemast.idempotency import (
    RETENTION_S,
    ClaimOutcome,
    ClaimVerdict,
    RequestEnded,
    StoredAnswer,
)

_ANSWER = StoredAnswer(200, 'OK', (), b'seat 7')
_KEYS = tuple(b'key-%d' % number for number in range(8))


@pytest.fixture
def entries() -> Entries:
    """Start all entries for the first time."""
    started = Entries()
    for name in NAMES:
        started.start(name)
        for other in started.nodes:
            started.catch_up(other)
        started.settle()
    return started


def _ask(
    entries: Entries, name: str, key: bytes, content: bytes = b'c'
) -> ClaimVerdict:
    request_id = entries.claim(name, key, content)
    while request_id not in entries.decided:
        entries.settle()
    return entries.decided[request_id].verdict


def _grant(entries: Entries, name: str, key: bytes) -> int:
    assert _ask(entries, name, key) is ClaimVerdict.granted
    return entries.last_request


@pytest.mark.parametrize('key', _KEYS)
def test_resend_gets_the_stored_answer(entries: Entries, key: bytes) -> None:
    """A caller sends a booking again through another entry."""
    request_id = _grant(entries, 'entry-1', key)
    known = RequestEnded(request_id, ClaimOutcome.answered, _ANSWER)
    entries.end('entry-1', known)
    entries.settle()
    assert _ask(entries, 'entry-2', key) is ClaimVerdict.answered
    assert entries.decided[entries.last_request].answer == _ANSWER


@pytest.mark.parametrize('key', _KEYS)
def test_resend_while_it_runs(entries: Entries, key: bytes) -> None:
    """A resend while the first one runs is told so, and later the truth."""
    _grant(entries, 'entry-1', key)
    assert _ask(entries, 'entry-3', key) is ClaimVerdict.in_progress
    entries.now_s += BOUND_S
    assert _ask(entries, 'entry-3', key) is ClaimVerdict.unknown


@pytest.mark.parametrize('key', _KEYS)
def test_entry_dies_while_a_booking_runs(entries: Entries, key: bytes) -> None:
    """The entry that sent a booking dies before the answer comes.

    Nobody knows whether the booking was made. The resend must not make it
    again, and the caller is told that the outcome is unknown.
    """
    _grant(entries, 'entry-1', key)
    entries.nodes.pop('entry-1')
    assert _ask(entries, 'entry-2', key) is ClaimVerdict.in_progress
    entries.start('entry-1')
    for name in entries.nodes:
        entries.catch_up(name)
    entries.settle()
    for name in NAMES:
        assert _ask(entries, name, key) is ClaimVerdict.unknown


@pytest.mark.parametrize('key', _KEYS)
def test_what_was_not_sent_may_run(entries: Entries, key: bytes) -> None:
    """A request that was refused before it left frees its key."""
    request_id = _grant(entries, 'entry-1', key)
    entries.end('entry-1', RequestEnded(request_id, ClaimOutcome.released))
    entries.settle()
    assert _ask(entries, 'entry-4', key) is ClaimVerdict.granted


@pytest.mark.parametrize('key', _KEYS)
def test_other_content_is_an_error(entries: Entries, key: bytes) -> None:
    """A key used for another request gets neither a run nor an answer."""
    _grant(entries, 'entry-1', key)
    assert _ask(entries, 'entry-2', key, b'other') is ClaimVerdict.mismatch


@pytest.mark.parametrize('key', _KEYS)
def test_lost_memory_refuses_for_a_time(entries: Entries, key: bytes) -> None:
    """All entries lose their power at once.

    Nobody knows what ran before. Keys are refused until callers have given
    up resending; then they are taken again.
    """
    _grant(entries, 'entry-1', key)
    for name in NAMES:
        entries.start(name, sees_log=False)
    for name in NAMES:
        entries.catch_up(name)
    assert _ask(entries, 'entry-2', key) is ClaimVerdict.unavailable
    entries.now_s += RETENTION_S
    assert _ask(entries, 'entry-2', key) is ClaimVerdict.granted


@pytest.mark.parametrize('key', _KEYS)
def test_one_entry_down_stops_no_key(entries: Entries, key: bytes) -> None:
    """Keys are taken while one entry is down."""
    entries.nodes.pop('entry-2')
    assert _ask(entries, 'entry-1', key) is ClaimVerdict.granted


def test_late_grants_do_not_count(entries: Entries) -> None:
    """An entry is frozen while its claim is under way.

    It wakes after minutes and finds the grants. Meanwhile the holders may
    have forgotten them and let another one run.
    """
    request_id = entries.claim('entry-1', b'key')
    entries.now_s += RETENTION_S
    entries.settle()
    verdict = entries.decided[request_id].verdict
    assert verdict is ClaimVerdict.unavailable


@pytest.mark.parametrize('name', NAMES)
@pytest.mark.parametrize('key', _KEYS)
def test_holder_that_missed_the_end(
    entries: Entries,
    key: bytes,
    name: str,
) -> None:
    """An entry is frozen while a booking ends, and its stream breaks.

    It knows only that the booking started, long ago. A resend through it
    must still get the answer that the others hold.
    """
    request_id = _grant(entries, 'entry-1', key)
    known = RequestEnded(request_id, ClaimOutcome.answered, _ANSWER)
    entries.end('entry-1', known)
    entries.bag = [one for one in entries.bag if one.to != name]
    entries.settle()
    entries.now_s += BOUND_S
    assert _ask(entries, name, key) is ClaimVerdict.answered
