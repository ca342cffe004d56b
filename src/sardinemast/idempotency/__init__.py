"""Detect resent requests across all entries, so that none runs twice."""

from sardinemast.idempotency._core import (
    CLAIM_TIMEOUT_S,
    IdempotencyCore,
)
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
from sardinemast.idempotency._messages import (
    PEER_MESSAGES,
    Claim,
    ClaimId,
    ClaimOutcome,
    Member,
    PeerMessage,
    StoredAnswer,
    View,
)
from sardinemast.idempotency._records import RETENTION_S

__all__ = (
    'CLAIM_TIMEOUT_S',
    'PEER_MESSAGES',
    'RETENTION_S',
    'Claim',
    'ClaimDecided',
    'ClaimId',
    'ClaimOutcome',
    'ClaimVerdict',
    'ClaimRequested',
    'IdempotencyCore',
    'IdempotencyEvent',
    'IdempotencyOutput',
    'Member',
    'RequestEnded',
    'PeerMessage',
    'PeerReceived',
    'SendToPeer',
    'StoredAnswer',
    'Tick',
    'View',
    'ViewChanged',
)
