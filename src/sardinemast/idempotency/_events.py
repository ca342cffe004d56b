"""Input events and outputs of the idempotency core."""

from enum import StrEnum
from typing import NamedTuple

from sardinemast.idempotency._messages import (
    ClaimOutcome,
    Member,
    PeerMessage,
    StoredAnswer,
    View,
)


class Tick(NamedTuple):
    """Trigger the core's periodic work."""


class ViewChanged(NamedTuple):
    """Report the entries registered in a newer state."""

    view: View


class PeerReceived(NamedTuple):
    """Report a message received from another entry."""

    sender: Member
    message: PeerMessage


class ClaimRequested(NamedTuple):
    """Request permission to run; see ``Claim`` for the fields."""

    request_id: int
    key: bytes
    content_digest: bytes
    max_duration_s: float


class RequestEnded(NamedTuple):
    """Report how a request with a granted claim ended.

    ``released`` is only allowed if nothing was sent to an upstream.
    """

    request_id: int
    outcome: ClaimOutcome
    answer: StoredAnswer | None = None


class ClaimVerdict(StrEnum):
    """State whether a request with a key may run, or why not."""

    granted = 'granted'
    in_progress = 'in progress'
    answered = 'answered'
    unknown = 'unknown'
    mismatch = 'mismatch'
    unavailable = 'unavailable'


class ClaimDecided(NamedTuple):
    """Report the final decision on a requested claim."""

    request_id: int
    verdict: ClaimVerdict
    answer: StoredAnswer | None = None


class SendToPeer(NamedTuple):
    """Send a message to another entry."""

    entry: str
    message: PeerMessage


IdempotencyEvent = (
    Tick | ViewChanged | PeerReceived | ClaimRequested | RequestEnded
)
IdempotencyOutput = SendToPeer | ClaimDecided
