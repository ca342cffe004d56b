"""Store one holder's claims, bounded in number, size and age."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from sardinemast.idempotency._messages import (
    Claim,
    ClaimId,
    ClaimOutcome,
    CopiedClaim,
    StoredAnswer,
)

RETENTION_S = 300.0
MAX_CLAIMS = 50_000
MAX_ANSWER_BYTES = 65_536
MAX_ANSWERS_BYTES = 16_777_216


class Record(NamedTuple):
    """Hold one claim; ``started_s`` is by this holder's clock."""

    claim: Claim
    outcome: ClaimOutcome
    answer: StoredAnswer | None
    started_s: float


class RecordTable:
    """Hold all claims of each key.

    Concurrent claims of two entries may be recorded by different holders.
    A holder that learns of both in a sync keeps both: otherwise the release
    of one would free the key while the request of the other runs.
    """

    def __init__(self) -> None:
        self._records: dict[bytes, dict[ClaimId, Record]] = {}
        self._expiry_queue: deque[tuple[float, bytes, ClaimId]] = deque()
        self._answer_queue: deque[tuple[bytes, ClaimId, int]] = deque()
        self._answers_bytes = 0

    def is_full(self) -> bool:
        """Check whether the table can take no further claim."""
        return len(self._expiry_queue) >= MAX_CLAIMS

    def get(self, key: bytes) -> tuple[Record, ...]:
        """Return the known claims of a key."""
        return tuple(self._records.get(key, {}).values())

    def get_all(self) -> Iterator[Record]:
        """Yield all claims."""
        for claims in self._records.values():
            yield from claims.values()

    def add(self, record: Record) -> None:
        """Store a claim, or update a started one with a later outcome."""
        claim = record.claim
        claims = self._records.setdefault(claim.key, {})
        known = claims.get(claim.claim_id)
        if known is None:
            claims[claim.claim_id] = record
            self._expiry_queue.append(
                (record.started_s, claim.key, claim.claim_id)
            )
            self._track_answer(record)
        elif known.outcome is ClaimOutcome.started:
            claims[claim.claim_id] = record._replace(started_s=known.started_s)
            self._track_answer(record)

    def end(
        self,
        key: bytes,
        claim_id: ClaimId,
        outcome: ClaimOutcome,
        answer: StoredAnswer | None,
    ) -> None:
        """Record how a claim ended; a released one is removed."""
        claims = self._records.get(key, {})
        known = claims.get(claim_id)
        if known is None or known.outcome is not ClaimOutcome.started:
            return
        if outcome is ClaimOutcome.released:
            self._remove(key, claim_id)
            return
        ended = known._replace(outcome=outcome, answer=answer)
        claims[claim_id] = ended
        self._track_answer(ended)

    def expire(self, now_s: float) -> None:
        """Remove claims older than the time in which callers may resend."""
        while (
            self._expiry_queue
            and self._expiry_queue[0][0] <= now_s - RETENTION_S
        ):
            _, key, claim_id = self._expiry_queue.popleft()
            self._remove(key, claim_id)

    def copy(self, record: Record, now_s: float) -> CopiedClaim:
        """Return a copy of a claim for another holder."""
        age_s = now_s - record.started_s
        return CopiedClaim(record.claim, record.outcome, record.answer, age_s)

    def _remove(self, key: bytes, claim_id: ClaimId) -> None:
        claims = self._records.get(key, {})
        claims.pop(claim_id, None)
        if not claims:
            self._records.pop(key, None)

    def _track_answer(self, record: Record) -> None:
        if record.answer is None:
            return
        claim = record.claim
        size_bytes = len(record.answer.body)
        self._answer_queue.append((claim.key, claim.claim_id, size_bytes))
        self._answers_bytes += size_bytes
        while self._answers_bytes > MAX_ANSWERS_BYTES:
            self._drop_oldest_answer()

    def _drop_oldest_answer(self) -> None:
        key, claim_id, size_bytes = self._answer_queue.popleft()
        self._answers_bytes -= size_bytes
        claims = self._records.get(key, {})
        known = claims.get(claim_id)
        # The claim itself is kept, or else a resend would run again.
        if known is not None:
            claims[claim_id] = known._replace(answer=None)
