"""Recognise a caller's resend over all entries, so that nothing runs twice."""

from sardinemast.idempotency._core import (
    CLAIM_TIMEOUT_S,
    IdempotencyCore,
)
from sardinemast.idempotency._events import (
    ClaimDecided,
    ClaimVerdict,
    ClaimWanted,
    IdempotencyEvent,
    IdempotencyOutput,
    OutcomeKnown,
    PeerReceived,
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
from sardinemast.idempotency._records import RETAIN_S

__all__ = (
    'CLAIM_TIMEOUT_S',
    'PEER_MESSAGES',
    'RETAIN_S',
    'Claim',
    'ClaimDecided',
    'ClaimId',
    'ClaimOutcome',
    'ClaimVerdict',
    'ClaimWanted',
    'IdempotencyCore',
    'IdempotencyEvent',
    'IdempotencyOutput',
    'Member',
    'OutcomeKnown',
    'PeerMessage',
    'PeerReceived',
    'SendToPeer',
    'StoredAnswer',
    'Tick',
    'View',
    'ViewChanged',
)
