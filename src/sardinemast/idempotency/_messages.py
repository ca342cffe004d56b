"""Typed messages that entries exchange about claims."""

from enum import StrEnum
from typing import NamedTuple

from sardinemast.wire import MessageSet


class Member(NamedTuple):
    """Identify one incarnation of an entry."""

    entry: str
    incarnation: int


class View(NamedTuple):
    """Hold the entries registered in the log as of an index."""

    epoch: int
    members: tuple[Member, ...]

    @property
    def entries(self) -> tuple[str, ...]:
        """Return the names of the entries."""
        return tuple(member.entry for member in self.members)


class ClaimId(NamedTuple):
    """Identify one claim across all incarnations of all entries."""

    entry: str
    incarnation: int
    number: int


class Claim(NamedTuple):
    """Request the right to run under an idempotency key.

    ``key`` is a digest of team, pool and the caller's key, and
    ``content_digest`` one of the request itself. ``max_duration_s`` is an
    upper bound on the time until the request has ended.
    """

    claim_id: ClaimId
    key: bytes
    content_digest: bytes
    max_duration_s: float


class ClaimOutcome(StrEnum):
    """State how a claim ended, or that its request has started."""

    started = 'started'
    answered = 'answered'
    unknown = 'unknown'
    released = 'released'


class StoredAnswer(NamedTuple):
    """Hold an upstream's complete answer, to be replayed to resends."""

    code: int
    reason: str
    headers: tuple[tuple[str, ...], ...]
    body: bytes


class ClaimAsked(NamedTuple):
    """Ask a holder to record a claim before the request is sent."""

    epoch: int
    claim: Claim


class ClaimGranted(NamedTuple):
    """Confirm that the claim is recorded and no other one is known."""

    epoch: int
    claim_id: ClaimId


class ClaimKnown(NamedTuple):
    """Decline a claim and report the known claim of the same key."""

    claim_id: ClaimId
    content_digest: bytes
    outcome: ClaimOutcome
    answer: StoredAnswer | None


class ClaimEnded(NamedTuple):
    """Report to a holder how a claim ended."""

    claim_id: ClaimId
    key: bytes
    outcome: ClaimOutcome
    answer: StoredAnswer | None


class SyncAsked(NamedTuple):
    """Ask a holder for the claims that the sender should hold too."""

    epoch: int


class CopiedClaim(NamedTuple):
    """Hold a copy of a claim; ``age_s`` counts from its start."""

    claim: Claim
    outcome: ClaimOutcome
    answer: StoredAnswer | None
    age_s: float


class SyncAnswered(NamedTuple):
    """Send copies of claims, and the entries not yet synced with."""

    epoch: int
    copies: tuple[CopiedClaim, ...]
    unsynced: tuple[str, ...]


PeerMessage = (
    ClaimAsked
    | ClaimGranted
    | ClaimKnown
    | ClaimEnded
    | SyncAsked
    | SyncAnswered
)
PEER_MESSAGES = MessageSet(
    ClaimAsked,
    ClaimGranted,
    ClaimKnown,
    ClaimEnded,
    SyncAsked,
    SyncAnswered,
)
