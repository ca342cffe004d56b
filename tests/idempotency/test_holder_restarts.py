"""Tests of claims while holders restart between messages."""

from builders.claims import NAMES, Entries
from sardinemast.idempotency import ClaimVerdict, Tick
from sardinemast.idempotency._rendezvous import get_holders

_KEYS = tuple(b'key-%d' % number for number in range(99))
_KEY = next(key for key in _KEYS if 'entry-4' not in get_holders(key, NAMES))


def _start() -> Entries:
    """Start all entries; the first three hold the key."""
    entries = Entries()
    for name in NAMES:
        entries.start(name)
        for other in entries.nodes:
            entries.catch_up(other)
        entries.settle()
    return entries


def _deliver(entries: Entries, to: str, sender: str = '') -> None:
    """Deliver the messages in transit to an entry, maybe of one sender."""
    selected = [
        one
        for one in entries.in_flight
        if one.to == to and (not sender or one.sender.entry == sender)
    ]
    for envelope in selected:
        entries.in_flight.remove(envelope)
        entries.deliver(envelope)


def _restart(entries: Entries, name: str, *others: str) -> None:
    """Restart an entry, and let it sync with the others named."""
    in_transit = entries.in_flight
    entries.in_flight = []
    entries.start(name)
    for other in others:
        entries.catch_up(other)
    entries.settle(name, *others)
    entries.in_flight = in_transit


def _was_granted(entries: Entries, request_id: int) -> bool:
    decided = entries.decided.get(request_id)
    return decided is not None and decided.verdict is ClaimVerdict.granted


def _is_granted_after_settling(entries: Entries, name: str) -> bool:
    request_id = entries.claim(name, _KEY)
    while request_id not in entries.decided:
        entries.settle()
    return _was_granted(entries, request_id)


def _is_granted_by_second_and_third(entries: Entries) -> bool:
    """Claim the key at the third holder, reaching only the second."""
    entries.in_flight = []
    request_id = entries.claim('entry-3', _KEY)
    _deliver(entries, 'entry-2')
    _deliver(entries, 'entry-3')
    return _was_granted(entries, request_id)


def test_claim_by_an_older_view() -> None:
    """Guard against a second run when a holder restarts between grants.

    The claimant has not seen the restart. If another holder still granted
    the claim by the old view, the restarted one could grant a second run.
    """
    entries = _start()
    request_id = entries.claim('entry-4', _KEY)
    _deliver(entries, 'entry-2')
    _restart(entries, 'entry-2', 'entry-1', 'entry-3')
    _deliver(entries, 'entry-1')
    _deliver(entries, 'entry-4')
    is_running = _was_granted(entries, request_id)
    assert not (is_running and _is_granted_by_second_and_third(entries))


def test_grant_before_a_restart_does_not_count() -> None:
    """Guard against counting a grant of a holder that has restarted."""
    entries = _start()
    request_id = entries.claim('entry-4', _KEY)
    _deliver(entries, 'entry-2')
    _deliver(entries, 'entry-4')
    _restart(entries, 'entry-2', 'entry-1', 'entry-3')
    entries.catch_up('entry-4')
    _deliver(entries, 'entry-1')
    _deliver(entries, 'entry-4')
    is_running = _was_granted(entries, request_id)
    assert not (is_running and _is_granted_by_second_and_third(entries))


def test_concurrent_claims_and_a_restart() -> None:
    """Guard against a withdrawn claim that frees the key of a running one.

    Two entries claim a key at once, and the holder that knows both restarts.
    """
    entries = _start()
    running = entries.claim('entry-1', _KEY)
    withdrawn = entries.claim('entry-3', _KEY)
    _deliver(entries, 'entry-2', 'entry-1')
    _deliver(entries, 'entry-1', 'entry-2')
    assert _was_granted(entries, running)
    entries.in_flight = []
    entries.start('entry-2')
    for name in NAMES:
        entries.catch_up(name)
    entries.in_flight = []
    entries.feed('entry-2', Tick())
    for name in ('entry-3', 'entry-1'):
        _deliver(entries, name, 'entry-2')
        _deliver(entries, 'entry-2', name)
    entries.now_s += 2
    entries.settle()
    assert not _was_granted(entries, withdrawn)
    assert not _is_granted_by_second_and_third(entries)


def test_two_holders_restart_in_sequence() -> None:
    """Guard against a sync with a holder that never saw the claim.

    The two holders that recorded it restart one after the other.
    """
    entries = _start()
    request_id = entries.claim('entry-4', _KEY)
    for name in ('entry-1', 'entry-2'):
        _deliver(entries, name)
    _deliver(entries, 'entry-4')
    assert _was_granted(entries, request_id)
    entries.in_flight = []
    for name in ('entry-1', 'entry-2'):
        entries.start(name, sees_log=False)
    for name in NAMES:
        entries.catch_up(name)
    assert not _is_granted_after_settling(entries, 'entry-3')
