"""What goes into the core and what comes out of it."""

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
    """Tell the core that time has passed."""


class ViewChanged(NamedTuple):
    """Hand over the entries of a newer state."""

    view: View


class PeerReceived(NamedTuple):
    """Hand over a message of another entry."""

    sender: Member
    message: PeerMessage


class ClaimRequested(NamedTuple):
    """Ask whether a request may run; see ``Claim`` for the fields."""

    request_id: int
    key: bytes
    content_digest: bytes
    max_duration_s: float


class RequestEnded(NamedTuple):
    """Tell how a request with a granted claim ended.

    ``released`` may be said only where no byte has left for an upstream.
    """

    request_id: int
    outcome: ClaimOutcome
    answer: StoredAnswer | None = None


class ClaimVerdict(StrEnum):
    """Tell what a request with a key may do."""

    granted = 'granted'
    in_progress = 'in progress'
    answered = 'answered'
    unknown = 'unknown'
    mismatch = 'mismatch'
    unavailable = 'unavailable'


class ClaimDecided(NamedTuple):
    """Answer a wanted claim, once."""

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
