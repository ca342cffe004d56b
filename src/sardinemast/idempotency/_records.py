"""Claims as one holder knows them, bounded in number, bytes and time."""

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
    """Hold one claim; ``started_s`` is this holder's clock."""

    claim: Claim
    outcome: ClaimOutcome
    answer: StoredAnswer | None
    started_s: float


class RecordTable:
    """Hold all claims of each key.

    Two entries that ask at once may each find another holder first. Both
    claims are kept: if only one were, its release would free the key while
    the other one runs.
    """

    def __init__(self) -> None:
        self._records: dict[bytes, dict[ClaimId, Record]] = {}
        self._order: deque[tuple[float, bytes, ClaimId]] = deque()
        self._answers: deque[tuple[bytes, ClaimId, int]] = deque()
        self._answers_bytes = 0

    def is_full(self) -> bool:
        """Tell whether no other claim fits."""
        return len(self._order) >= MAX_CLAIMS

    def get(self, key: bytes) -> tuple[Record, ...]:
        """Give what is known of a key."""
        return tuple(self._records.get(key, {}).values())

    def get_all(self) -> Iterator[Record]:
        """Give all claims."""
        for of_key in self._records.values():
            yield from of_key.values()

    def add(self, record: Record) -> None:
        """Note a claim, or what is better known of it."""
        claim = record.claim
        of_key = self._records.setdefault(claim.key, {})
        known = of_key.get(claim.claim_id)
        if known is None:
            of_key[claim.claim_id] = record
            self._order.append((record.started_s, claim.key, claim.claim_id))
            self._note_answer(record)
        elif known.outcome is ClaimOutcome.started:
            of_key[claim.claim_id] = record._replace(started_s=known.started_s)
            self._note_answer(record)

    def end(
        self,
        key: bytes,
        claim_id: ClaimId,
        outcome: ClaimOutcome,
        answer: StoredAnswer | None,
    ) -> None:
        """Note how a claim ended; a released one is forgotten."""
        of_key = self._records.get(key, {})
        known = of_key.get(claim_id)
        if known is None or known.outcome is not ClaimOutcome.started:
            return
        if outcome is ClaimOutcome.released:
            self._forget(key, claim_id)
            return
        ended = known._replace(outcome=outcome, answer=answer)
        of_key[claim_id] = ended
        self._note_answer(ended)

    def expire(self, now_s: float) -> None:
        """Forget what is older than callers may resend."""
        while self._order and self._order[0][0] <= now_s - RETENTION_S:
            _, key, claim_id = self._order.popleft()
            self._forget(key, claim_id)

    def copy(self, record: Record, now_s: float) -> CopiedClaim:
        """Give a claim for another holder."""
        age_s = now_s - record.started_s
        return CopiedClaim(record.claim, record.outcome, record.answer, age_s)

    def _forget(self, key: bytes, claim_id: ClaimId) -> None:
        of_key = self._records.get(key, {})
        of_key.pop(claim_id, None)
        if not of_key:
            self._records.pop(key, None)

    def _note_answer(self, record: Record) -> None:
        if record.answer is None:
            return
        claim = record.claim
        size = len(record.answer.body)
        self._answers.append((claim.key, claim.claim_id, size))
        self._answers_bytes += size
        while self._answers_bytes > MAX_ANSWERS_BYTES:
            self._drop_oldest_answer()

    def _drop_oldest_answer(self) -> None:
        key, claim_id, size = self._answers.popleft()
        self._answers_bytes -= size
        of_key = self._records.get(key, {})
        known = of_key.get(claim_id)
        # The claim itself stays: without it a resend would run again.
        if known is not None:
            of_key[claim_id] = known._replace(answer=None)
