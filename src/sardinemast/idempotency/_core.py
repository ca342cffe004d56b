"""Decide whether a request with an idempotency key may run."""

from functools import singledispatchmethod
from itertools import count
from types import MappingProxyType
from typing import NamedTuple

from sardinemast.idempotency._events import (
    ClaimDecided,
    ClaimRequested,
    ClaimVerdict,
    IdempotencyEvent,
    IdempotencyOutput,
    PeerReceived,
    RequestEnded,
    SendToPeer,
    Tick,
    ViewChanged,
)
from sardinemast.idempotency._holder import KeyHolder
from sardinemast.idempotency._messages import (
    Claim,
    ClaimAsked,
    ClaimEnded,
    ClaimGranted,
    ClaimId,
    ClaimKnown,
    ClaimOutcome,
    Member,
    PeerMessage,
    SyncAnswered,
    SyncAsked,
    View,
)
from sardinemast.idempotency._records import RETENTION_S
from sardinemast.idempotency._rendezvous import get_holders, get_quorum

CLAIM_TIMEOUT_S = 1.0
_RESEND_INTERVAL_S = 0.1
_WAIT_FOR_ALL_S = 0.3
_OUTCOME_PRECEDENCE = (
    ClaimOutcome.answered,
    ClaimOutcome.unknown,
    ClaimOutcome.started,
)
_VERDICTS = MappingProxyType(
    {
        ClaimOutcome.started: ClaimVerdict.in_progress,
        ClaimOutcome.answered: ClaimVerdict.answered,
        ClaimOutcome.unknown: ClaimVerdict.unknown,
    }
)


class _Pending(NamedTuple):
    """Hold a claim and the answers of its holders so far."""

    request_id: int
    claim: Claim
    expires_at_s: float
    asked_at_s: float
    granted_by: frozenset[str] = frozenset()
    known: tuple[ClaimKnown, ...] = ()
    known_by: frozenset[str] = frozenset()


class IdempotencyCore:
    """Claim keys for this entry's requests, and hold keys for all entries.

    A request runs only after a majority of its key's holders has recorded
    the claim in the same epoch of the view. Any two majorities share a
    holder, which reports the earlier claim to the later claimant.
    """

    def __init__(self, own: Member, now_s: float) -> None:
        self._own = own
        self._view = View(0, ())
        self._holder = KeyHolder(own, now_s)
        self._claim_numbers = count(1)
        self._pending: dict[ClaimId, _Pending] = {}
        self._granted: dict[int, tuple[Claim, float]] = {}
        self._sync_asked_at_s = float('-inf')
        self._outputs: list[IdempotencyOutput] = []

    def holds_keys(self, now_s: float) -> bool:
        """Check whether this entry is in sync with the other holders."""
        return self._holder.is_synced(now_s)

    def step(
        self,
        event: IdempotencyEvent,
        now_s: float,
    ) -> list[IdempotencyOutput]:
        """Process an event; return the outputs to execute in order."""
        self._outputs = []
        # Grants that arrived while this process was frozen are too old to
        # count: the holders may have dropped the claim since.
        self._expire_pending(now_s)
        self._handle(event, now_s)
        return self._outputs

    @singledispatchmethod
    def _handle(self, event: IdempotencyEvent, now_s: float) -> None:
        raise TypeError(event)

    @_handle.register
    def _handle_tick(self, event: Tick, now_s: float) -> None:
        self._holder.expire(now_s)
        self._discard_granted(now_s)
        if now_s >= self._sync_asked_at_s + _RESEND_INTERVAL_S:
            self._sync_asked_at_s = now_s
            for entry in self._holder.get_unsynced(now_s):
                self._send(entry, SyncAsked(self._view.epoch), now_s)
        for pending in tuple(self._pending.values()):
            if now_s >= pending.asked_at_s + _RESEND_INTERVAL_S:
                self._ask(pending, now_s)
        for waiting in tuple(self._pending.values()):
            self._decide_if_known(waiting, now_s)

    @_handle.register
    def _handle_view(self, event: ViewChanged, now_s: float) -> None:
        if event.view.epoch <= self._view.epoch:
            return
        self._view = event.view
        self._holder.handle_view(event.view)
        for claim_id, pending in tuple(self._pending.items()):
            # A holder that granted in an older epoch may have restarted
            # since and lost the claim.
            cleared = pending._replace(
                granted_by=frozenset(), known=(), known_by=frozenset()
            )
            self._pending[claim_id] = cleared
            self._ask(cleared, now_s)

    @_handle.register
    def _handle_requested(self, event: ClaimRequested, now_s: float) -> None:
        claim = Claim(
            ClaimId(*self._own, next(self._claim_numbers)),
            event.key,
            event.content_digest,
            event.max_duration_s,
        )
        pending = _Pending(
            event.request_id, claim, now_s + CLAIM_TIMEOUT_S, now_s
        )
        self._pending[claim.claim_id] = pending
        self._ask(pending, now_s)

    @_handle.register
    def _handle_ended(self, event: RequestEnded, now_s: float) -> None:
        granted = self._granted.pop(event.request_id, None)
        if granted is not None:
            self._end(granted[0], event.outcome, event, now_s)

    @_handle.register
    def _handle_peer(self, event: PeerReceived, now_s: float) -> None:
        self._handle_message(event.sender, event.message, now_s)

    def _handle_message(
        self,
        sender: Member,
        message: PeerMessage,
        now_s: float,
    ) -> None:
        if isinstance(message, ClaimGranted):
            self._handle_grant(sender, message, now_s)
        elif isinstance(message, ClaimKnown):
            self._handle_known(sender, message, now_s)
        elif isinstance(message, ClaimAsked):
            reply = self._holder.handle_claim(message, now_s)
            if reply is not None:
                self._send(sender.entry, reply, now_s)
        elif isinstance(message, ClaimEnded):
            self._holder.handle_end(message)
        elif isinstance(message, SyncAsked):
            copies = self._holder.handle_sync_request(sender, message, now_s)
            if copies is not None:
                self._send(sender.entry, copies, now_s)
        elif isinstance(message, SyncAnswered):
            self._holder.handle_copies(sender, message, now_s)

    def _ask(self, pending: _Pending, now_s: float) -> None:
        claim_id = pending.claim.claim_id
        self._pending[claim_id] = pending._replace(asked_at_s=now_s)
        message = ClaimAsked(self._view.epoch, pending.claim)
        for entry in self._get_holders(pending.claim.key):
            if entry not in pending.granted_by:
                self._send(entry, message, now_s)

    def _handle_grant(
        self,
        sender: Member,
        message: ClaimGranted,
        now_s: float,
    ) -> None:
        pending = self._pending.get(message.claim_id)
        if (
            pending is None
            or message.epoch != self._view.epoch
            or sender not in self._view.members
        ):
            return
        pending = pending._replace(
            granted_by=pending.granted_by | {sender.entry}
        )
        self._pending[message.claim_id] = pending
        holders = self._get_holders(pending.claim.key)
        if len(pending.granted_by & set(holders)) >= get_quorum(holders):
            self._pending.pop(message.claim_id)
            self._granted[pending.request_id] = (pending.claim, now_s)
            self._decide(pending, ClaimVerdict.granted)
        else:
            self._decide_if_known(pending, now_s)

    def _handle_known(
        self,
        sender: Member,
        message: ClaimKnown,
        now_s: float,
    ) -> None:
        pending = self._pending.get(message.claim_id)
        if pending is None:
            return
        pending = pending._replace(
            known=(*pending.known, message),
            known_by=pending.known_by | {sender.entry},
        )
        self._pending[message.claim_id] = pending
        self._decide_if_known(pending, now_s)

    def _decide_if_known(self, pending: _Pending, now_s: float) -> None:
        if not pending.known or not self._has_enough_answers(pending, now_s):
            return
        best = min(
            pending.known,
            key=lambda known: (
                _OUTCOME_PRECEDENCE.index(known.outcome),
                known.answer is None,
            ),
        )
        self._withdraw(pending, now_s)
        if best.content_digest != pending.claim.content_digest:
            self._decide(pending, ClaimVerdict.mismatch)
            return
        self._outputs.append(
            ClaimDecided(
                pending.request_id, _VERDICTS[best.outcome], best.answer
            )
        )

    def _has_enough_answers(self, pending: _Pending, now_s: float) -> bool:
        # A holder that missed the end reports the request as running or
        # its outcome as unknown, while another one may have the answer.
        if any(
            known.outcome is ClaimOutcome.answered and known.answer is not None
            for known in pending.known
        ):
            return True
        response_count = len(pending.granted_by | pending.known_by)
        holders = self._get_holders(pending.claim.key)
        needed_count = len(holders)
        if now_s >= pending.expires_at_s - CLAIM_TIMEOUT_S + _WAIT_FOR_ALL_S:
            needed_count = get_quorum(holders)
        return response_count >= needed_count

    def _expire_pending(self, now_s: float) -> None:
        for pending in tuple(self._pending.values()):
            if now_s >= pending.expires_at_s:
                self._withdraw(pending, now_s)
                self._decide(pending, ClaimVerdict.unavailable)

    def _discard_granted(self, now_s: float) -> None:
        for request_id, (_, granted_s) in tuple(self._granted.items()):
            if granted_s > now_s - RETENTION_S:
                return
            self._granted.pop(request_id)

    def _withdraw(self, pending: _Pending, now_s: float) -> None:
        self._pending.pop(pending.claim.claim_id, None)
        released = RequestEnded(pending.request_id, ClaimOutcome.released)
        self._end(pending.claim, ClaimOutcome.released, released, now_s)

    def _end(
        self,
        claim: Claim,
        outcome: ClaimOutcome,
        event: RequestEnded,
        now_s: float,
    ) -> None:
        message = ClaimEnded(claim.claim_id, claim.key, outcome, event.answer)
        for entry in self._get_holders(claim.key):
            self._send(entry, message, now_s)

    def _decide(self, pending: _Pending, verdict: ClaimVerdict) -> None:
        self._outputs.append(ClaimDecided(pending.request_id, verdict))

    def _get_holders(self, key: bytes) -> tuple[str, ...]:
        return get_holders(key, self._view.entries)

    def _send(self, entry: str, message: PeerMessage, now_s: float) -> None:
        if entry == self._own.entry:
            self._handle_message(self._own, message, now_s)
        else:
            self._outputs.append(SendToPeer(entry, message))
