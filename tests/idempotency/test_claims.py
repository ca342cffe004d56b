"""Tests of resent requests with an idempotency key."""

import pytest

from builders.claims import MAX_DURATION_S, NAMES, Entries
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
    """Return a fleet whose entries have started for the first time."""
    started = Entries()
    for name in NAMES:
        started.start(name)
        for other in started.nodes:
            started.catch_up(other)
        started.settle()
    return started


def _request_verdict(
    entries: Entries, name: str, key: bytes, content: bytes = b'c'
) -> ClaimVerdict:
    request_id = entries.claim(name, key, content)
    while request_id not in entries.decided:
        entries.settle()
    return entries.decided[request_id].verdict


def _grant(entries: Entries, name: str, key: bytes) -> int:
    assert _request_verdict(entries, name, key) is ClaimVerdict.granted
    return entries.last_request


@pytest.mark.parametrize('key', _KEYS)
def test_resend_gets_the_stored_answer(entries: Entries, key: bytes) -> None:
    """Guard against a second run when a resend uses another entry."""
    request_id = _grant(entries, 'entry-1', key)
    ended = RequestEnded(request_id, ClaimOutcome.answered, _ANSWER)
    entries.end('entry-1', ended)
    entries.settle()
    assert _request_verdict(entries, 'entry-2', key) is ClaimVerdict.answered
    assert entries.decided[entries.last_request].answer == _ANSWER


@pytest.mark.parametrize('key', _KEYS)
def test_resend_during_the_run(entries: Entries, key: bytes) -> None:
    """Guard against a second run during the first one.

    After the time bound the outcome is reported as unknown.
    """
    _grant(entries, 'entry-1', key)
    assert _request_verdict(entries, 'entry-3', key) is ClaimVerdict.in_progress
    entries.now_s += MAX_DURATION_S
    assert _request_verdict(entries, 'entry-3', key) is ClaimVerdict.unknown


@pytest.mark.parametrize('key', _KEYS)
def test_entry_dies_during_the_run(entries: Entries, key: bytes) -> None:
    """Guard against a second run after the first one's entry has died."""
    _grant(entries, 'entry-1', key)
    entries.nodes.pop('entry-1')
    assert _request_verdict(entries, 'entry-2', key) is ClaimVerdict.in_progress
    entries.start('entry-1')
    for name in entries.nodes:
        entries.catch_up(name)
    entries.settle()
    for name in NAMES:
        assert _request_verdict(entries, name, key) is ClaimVerdict.unknown


@pytest.mark.parametrize('key', _KEYS)
def test_unsent_request_frees_its_key(entries: Entries, key: bytes) -> None:
    """Guard against a blocked key when the request was never sent."""
    request_id = _grant(entries, 'entry-1', key)
    entries.end('entry-1', RequestEnded(request_id, ClaimOutcome.released))
    entries.settle()
    assert _request_verdict(entries, 'entry-4', key) is ClaimVerdict.granted


@pytest.mark.parametrize('key', _KEYS)
def test_other_content_is_a_mismatch(entries: Entries, key: bytes) -> None:
    """Guard against running or answering another request of the same key."""
    _grant(entries, 'entry-1', key)
    assert (
        _request_verdict(entries, 'entry-2', key, b'other')
        is ClaimVerdict.mismatch
    )


@pytest.mark.parametrize('key', _KEYS)
def test_lost_claims_make_keys_unavailable(
    entries: Entries, key: bytes
) -> None:
    """Guard against a second run after all entries restarted at once."""
    _grant(entries, 'entry-1', key)
    for name in NAMES:
        entries.start(name, sees_log=False)
    for name in NAMES:
        entries.catch_up(name)
    assert _request_verdict(entries, 'entry-2', key) is ClaimVerdict.unavailable
    entries.now_s += RETENTION_S
    assert _request_verdict(entries, 'entry-2', key) is ClaimVerdict.granted


@pytest.mark.parametrize('key', _KEYS)
def test_keys_work_with_one_entry_down(entries: Entries, key: bytes) -> None:
    """Guard against keys that are unavailable with one entry down."""
    entries.nodes.pop('entry-2')
    assert _request_verdict(entries, 'entry-1', key) is ClaimVerdict.granted


def test_late_grants_do_not_count(entries: Entries) -> None:
    """Guard against expired grants that a frozen entry finds on waking."""
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
    """Guard against a lost answer when one holder missed the end."""
    request_id = _grant(entries, 'entry-1', key)
    ended = RequestEnded(request_id, ClaimOutcome.answered, _ANSWER)
    entries.end('entry-1', ended)
    entries.in_flight = [one for one in entries.in_flight if one.to != name]
    entries.settle()
    entries.now_s += MAX_DURATION_S
    assert _request_verdict(entries, name, key) is ClaimVerdict.answered
