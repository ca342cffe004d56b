"""Typed messages between entries."""

from enum import StrEnum
from typing import NamedTuple

from sardinemast.wire import MessageSet


class Member(NamedTuple):
    """Name one start of an entry."""

    entry: str
    incarnation: int


class View(NamedTuple):
    """Hold the entries that the log knows at an index."""

    epoch: int
    members: tuple[Member, ...]

    @property
    def entries(self) -> tuple[str, ...]:
        """Give the names of the entries."""
        return tuple(one.entry for one in self.members)


class ClaimId(NamedTuple):
    """Name one claim; no other start of any entry makes the same."""

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
    """Tell how a claim stands or ended."""

    started = 'started'
    answered = 'answered'
    unknown = 'unknown'
    released = 'released'


class StoredAnswer(NamedTuple):
    """Hold an upstream's whole answer for resends."""

    code: int
    reason: str
    headers: tuple[tuple[str, ...], ...]
    body: bytes


class ClaimAsked(NamedTuple):
    """Ask a holder to note a claim before anything is sent."""

    epoch: int
    claim: Claim


class ClaimGranted(NamedTuple):
    """Tell that the claim is noted and no other is known."""

    epoch: int
    claim_id: ClaimId


class ClaimKnown(NamedTuple):
    """Tell what is known of the key instead."""

    claim_id: ClaimId
    content_digest: bytes
    outcome: ClaimOutcome
    answer: StoredAnswer | None


class ClaimEnded(NamedTuple):
    """Tell a holder how a claim ended."""

    claim_id: ClaimId
    key: bytes
    outcome: ClaimOutcome
    answer: StoredAnswer | None


class SyncAsked(NamedTuple):
    """Ask for what the asking entry should hold and has lost."""

    epoch: int


class CopiedClaim(NamedTuple):
    """Hold a claim as a holder has it; ``age_s`` counts from its start."""

    claim: Claim
    outcome: ClaimOutcome
    answer: StoredAnswer | None
    age_s: float


class SyncAnswered(NamedTuple):
    """Send the claims, and tell of whom the sender itself has heard nothing."""

    epoch: int
    copies: tuple[CopiedClaim, ...]
    missing: tuple[str, ...]


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
