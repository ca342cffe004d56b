"""Requests of this entry that hold, or want, an idempotency key."""

from collections.abc import Callable

from sardinemast import idempotency
from sardinemast.admission import Refusal
from sardinemast.shell._entry_peers import EntryPeers
from sardinemast.shell._idempotent_requests import (
    answer_resend,
    describe_outcome,
)
from sardinemast.shell._upstream_client import UpstreamResponse

_Answer = UpstreamResponse | Refusal


class KeyClaims:
    """Claim keys before requests run, and tell how they ended."""

    def __init__(
        self,
        peers: EntryPeers,
        run: Callable[[int], bool],
        answer: Callable[[int, _Answer], None],
    ) -> None:
        self._peers = peers
        self._run = run
        self._answer = answer
        self._unsent: set[int] = set()
        self._sent: set[int] = set()

    def claim(self, wanted: idempotency.ClaimRequested) -> None:
        """Run the request when it may, or answer it."""
        self._unsent.add(wanted.request_id)
        self._peers.claim(wanted, self._take_decision)

    def note_sent(self, request_id: int) -> None:
        """Note that an attempt starts."""
        if request_id in self._unsent:
            self._unsent.remove(request_id)
            self._sent.add(request_id)

    def note_left(self, request_id: int) -> None:
        """Free the key of a request that was dropped before it was sent."""
        if request_id in self._unsent:
            self._release(request_id)

    def note_answer(self, request_id: int, answer: _Answer) -> None:
        """Tell the holders of the key how the request ended."""
        if request_id in self._unsent or request_id in self._sent:
            self._forget(request_id)
            self._peers.loop.put(describe_outcome(request_id, answer))

    def _take_decision(self, decided: idempotency.ClaimDecided) -> None:
        request_id = decided.request_id
        if decided.verdict is not idempotency.ClaimVerdict.granted:
            self._forget(request_id)
            self._answer(request_id, answer_resend(decided))
        elif not self._run(request_id):
            self._release(request_id)

    def _release(self, request_id: int) -> None:
        # Without effect on a claim that is still under way: what becomes of
        # it is decided when its verdict comes.
        self._forget(request_id)
        released = idempotency.ClaimOutcome.released
        self._peers.loop.put(idempotency.RequestEnded(request_id, released))

    def _forget(self, request_id: int) -> None:
        self._unsent.discard(request_id)
        self._sent.discard(request_id)
