"""Idempotency keys of the requests at this entry."""

from collections.abc import Callable

from sardinemast import idempotency
from sardinemast.admission import Refusal
from sardinemast.shell._entry_peers import EntryPeers
from sardinemast.shell._idempotent_requests import (
    answer_duplicate,
    make_request_ended,
)
from sardinemast.shell._upstream_client import UpstreamResponse

_CallerResponse = UpstreamResponse | Refusal


class KeyClaims:
    """Claim keys before requests run, and report how the requests end."""

    def __init__(
        self,
        peers: EntryPeers,
        admit: Callable[[int], bool],
        respond: Callable[[int, _CallerResponse], None],
    ) -> None:
        self._peers = peers
        self._admit = admit
        self._respond = respond
        self._unsent: set[int] = set()
        self._sent: set[int] = set()

    def claim(self, request: idempotency.ClaimRequested) -> None:
        """Claim a key, then admit the request or respond to it."""
        self._unsent.add(request.request_id)
        self._peers.claim(request, self._handle_decision)

    def record_sent(self, request_id: int) -> None:
        """Record that an attempt of the request starts."""
        if request_id in self._unsent:
            self._unsent.remove(request_id)
            self._sent.add(request_id)

    def release_unsent(self, request_id: int) -> None:
        """Release the key of a request that was cancelled before sending."""
        if request_id in self._unsent:
            self._release(request_id)

    def record_response(
        self, request_id: int, response: _CallerResponse
    ) -> None:
        """Report the end of a request to the holders of its key."""
        if request_id in self._unsent or request_id in self._sent:
            self._discard(request_id)
            self._peers.loop.put(make_request_ended(request_id, response))

    def _handle_decision(self, decided: idempotency.ClaimDecided) -> None:
        request_id = decided.request_id
        if decided.verdict is not idempotency.ClaimVerdict.granted:
            self._discard(request_id)
            self._respond(request_id, answer_duplicate(decided))
        elif not self._admit(request_id):
            self._release(request_id)

    def _release(self, request_id: int) -> None:
        # Has no effect on a pending claim, which is released or used once its
        # verdict arrives.
        self._discard(request_id)
        released = idempotency.ClaimOutcome.released
        self._peers.loop.put(idempotency.RequestEnded(request_id, released))

    def _discard(self, request_id: int) -> None:
        self._unsent.discard(request_id)
        self._sent.discard(request_id)
