"""Claims while holders lose their memory, message by message."""

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


def _pass(entries: Entries, to: str, sender: str = '') -> None:
    """Deliver what is under way to an entry, perhaps of one sender only."""
    chosen = [
        one
        for one in entries.bag
        if one.to == to and (not sender or one.sender.entry == sender)
    ]
    for envelope in chosen:
        entries.bag.remove(envelope)
        entries.deliver(envelope)


def _restart(entries: Entries, name: str, *others: str) -> None:
    """Restart an entry, and let it hear all it can from others."""
    under_way = entries.bag
    entries.bag = []
    entries.start(name)
    for other in others:
        entries.catch_up(other)
    entries.settle(name, *others)
    entries.bag = under_way


def _was_granted(entries: Entries, request_id: int) -> bool:
    decided = entries.decided.get(request_id)
    return decided is not None and decided.verdict is ClaimVerdict.granted


def _ask_again(entries: Entries, name: str) -> bool:
    request_id = entries.claim(name, _KEY)
    while request_id not in entries.decided:
        entries.settle()
    return _was_granted(entries, request_id)


def _runs_by_second_and_third(entries: Entries) -> bool:
    """Claim the key at the third holder, with only the second one heard."""
    entries.bag = []
    request_id = entries.claim('entry-3', _KEY)
    _pass(entries, 'entry-2')
    _pass(entries, 'entry-3')
    return _was_granted(entries, request_id)


def test_claim_of_an_older_view() -> None:
    """A holder grants a claim and loses its memory before another grants it.

    The claimant has not heard that the holder started anew. If the second
    holder took the claim by the old view, the new start would know nothing,
    and form a majority for another run with the third.
    """
    entries = _start()
    request_id = entries.claim('entry-4', _KEY)
    _pass(entries, 'entry-2')
    _restart(entries, 'entry-2', 'entry-1', 'entry-3')
    _pass(entries, 'entry-1')
    _pass(entries, 'entry-4')
    is_running = _was_granted(entries, request_id)
    assert not (is_running and _runs_by_second_and_third(entries))


def test_grant_of_a_former_start_does_not_count() -> None:
    """The claimant hears of the new start between two grants."""
    entries = _start()
    request_id = entries.claim('entry-4', _KEY)
    _pass(entries, 'entry-2')
    _pass(entries, 'entry-4')
    _restart(entries, 'entry-2', 'entry-1', 'entry-3')
    entries.catch_up('entry-4')
    _pass(entries, 'entry-1')
    _pass(entries, 'entry-4')
    is_running = _was_granted(entries, request_id)
    assert not (is_running and _runs_by_second_and_third(entries))


def test_two_claims_at_once_and_a_lost_memory() -> None:
    """Two entries claim a key at once, and the holder between them restarts.

    One claim has its majority and runs. The other one is withdrawn; the
    holder that restarted must not take that for the end of both.
    """
    entries = _start()
    running = entries.claim('entry-1', _KEY)
    withdrawn = entries.claim('entry-3', _KEY)
    _pass(entries, 'entry-2', 'entry-1')
    _pass(entries, 'entry-1', 'entry-2')
    assert _was_granted(entries, running)
    entries.bag = []
    entries.start('entry-2')
    for name in NAMES:
        entries.catch_up(name)
    entries.bag = []
    entries.feed('entry-2', Tick())
    for name in ('entry-3', 'entry-1'):
        _pass(entries, name, 'entry-2')
        _pass(entries, 'entry-2', name)
    entries.now_s += 2
    entries.settle()
    assert not _was_granted(entries, withdrawn)
    assert not _runs_by_second_and_third(entries)


def test_second_holder_lost_right_after_the_first() -> None:
    """The two holders that knew of a claim restart one after the other.

    The third one never heard of the claim. It must not vouch for the two.
    """
    entries = _start()
    request_id = entries.claim('entry-4', _KEY)
    for name in ('entry-1', 'entry-2'):
        _pass(entries, name)
    _pass(entries, 'entry-4')
    assert _was_granted(entries, request_id)
    entries.bag = []
    for name in ('entry-1', 'entry-2'):
        entries.start(name, sees_log=False)
    for name in NAMES:
        entries.catch_up(name)
    assert not _ask_again(entries, 'entry-3')
