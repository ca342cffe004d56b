"""Requests of this entry that hold, or want, an idempotency key."""

from collections.abc import Callable

from sardinemast import idempotency
from sardinemast.admission import Refusal
from sardinemast.shell._entry_peers import EntryPeers
from sardinemast.shell._idempotent_requests import (
    answer_duplicate,
    make_request_ended,
)
from sardinemast.shell._upstream_client import UpstreamResponse

_Answer = UpstreamResponse | Refusal


class KeyClaims:
    """Claim keys before requests run, and tell how they ended."""

    def __init__(
        self,
        peers: EntryPeers,
        admit: Callable[[int], bool],
        answer: Callable[[int, _Answer], None],
    ) -> None:
        self._peers = peers
        self._admit = admit
        self._answer = answer
        self._unsent: set[int] = set()
        self._sent: set[int] = set()

    def claim(self, request: idempotency.ClaimRequested) -> None:
        """Run the request when it may, or answer it."""
        self._unsent.add(request.request_id)
        self._peers.claim(request, self._handle_decision)

    def record_sent(self, request_id: int) -> None:
        """Note that an attempt starts."""
        if request_id in self._unsent:
            self._unsent.remove(request_id)
            self._sent.add(request_id)

    def release_unsent(self, request_id: int) -> None:
        """Free the key of a request that was dropped before it was sent."""
        if request_id in self._unsent:
            self._release(request_id)

    def record_answer(self, request_id: int, answer: _Answer) -> None:
        """Tell the holders of the key how the request ended."""
        if request_id in self._unsent or request_id in self._sent:
            self._discard(request_id)
            self._peers.loop.put(make_request_ended(request_id, answer))

    def _handle_decision(self, decided: idempotency.ClaimDecided) -> None:
        request_id = decided.request_id
        if decided.verdict is not idempotency.ClaimVerdict.granted:
            self._discard(request_id)
            self._answer(request_id, answer_duplicate(decided))
        elif not self._admit(request_id):
            self._release(request_id)

    def _release(self, request_id: int) -> None:
        # Without effect on a claim that is still under way: what becomes of
        # it is decided when its verdict comes.
        self._discard(request_id)
        released = idempotency.ClaimOutcome.released
        self._peers.loop.put(idempotency.RequestEnded(request_id, released))

    def _discard(self, request_id: int) -> None:
        self._unsent.discard(request_id)
        self._sent.discard(request_id)
