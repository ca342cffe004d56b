"""One entry's part of the memory of claims."""

from sardinemast.idempotency._messages import (
    ClaimAsked,
    ClaimEnded,
    ClaimGranted,
    ClaimKnown,
    ClaimOutcome,
    Member,
    SyncAnswered,
    SyncAsked,
    View,
)
from sardinemast.idempotency._records import (
    MAX_ANSWER_BYTES,
    RETENTION_S,
    Record,
    RecordTable,
)
from sardinemast.idempotency._rendezvous import get_holders


class Holder:
    """Note claims, and vote only on keys of which nothing can be missing.

    A process that has just started has an empty memory. A vote from it could
    complete a majority that knows nothing of an earlier claim, and a booking
    would run twice. So it first hears from the other holders of a key, or
    waits until all that it may have lost is past its time.
    """

    def __init__(self, own: Member, now_s: float) -> None:
        self._own = own
        self._started_s = now_s
        self._view = View(0, ())
        self._records = RecordTable()
        self._missing: set[str] | None = None

    def take_view(self, view: View) -> None:
        """Take a newer view; the first with this start tells who is missing.

        Entries that come later have this one in their first view, and ask
        it; so two that start for the first time do not wait for each other.
        """
        self._view = view
        if self._missing is None and self._own in view.members:
            self._missing = {one.entry for one in view.members}
            self._missing.discard(self._own.entry)

    def get_missing(self, now_s: float) -> tuple[str, ...]:
        """Give the entries that must still be heard."""
        if now_s >= self._started_s + RETENTION_S:
            return ()
        return tuple(sorted(self._missing or ()))

    def is_complete(self, now_s: float) -> bool:
        """Tell whether this entry votes on every key that it holds."""
        return self._missing is not None and not self.get_missing(now_s)

    def expire(self, now_s: float) -> None:
        """Forget what is past its time."""
        self._records.expire(now_s)

    def take_claim(
        self,
        asked: ClaimAsked,
        now_s: float,
    ) -> ClaimGranted | ClaimKnown | None:
        """Note a claim, tell what is known instead, or abstain."""
        self._records.expire(now_s)
        claim = asked.claim
        if asked.epoch != self._view.epoch or not self._may_vote(
            claim.key, now_s
        ):
            return None
        known = self._records.get(claim.key)
        others = [one for one in known if one.claim.claim_id != claim.claim_id]
        if others:
            return self._describe(asked, others, now_s)
        if known and known[0].outcome is not ClaimOutcome.started:
            return None
        if not known:
            if self._records.is_full():
                return None
            self._records.add(Record(claim, ClaimOutcome.started, None, now_s))
        return ClaimGranted(asked.epoch, claim.claim_id)

    def take_end(self, ended: ClaimEnded) -> None:
        """Note how a claim ended."""
        answer = ended.answer
        if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
            answer = None
        self._records.end(ended.key, ended.claim_id, ended.outcome, answer)

    def take_sync(
        self,
        sender: Member,
        asked: SyncAsked,
        now_s: float,
    ) -> SyncAnswered | None:
        """Give what the sender should hold, in the same epoch only.

        From then on no claim of an older epoch is granted here, so nothing
        that the sender must know can come after this answer.
        """
        members = self._view.members
        if asked.epoch != self._view.epoch or sender not in members:
            return None
        if self._own not in members:
            return None
        self._records.expire(now_s)
        return SyncAnswered(
            asked.epoch,
            tuple(
                self._records.copy(record, now_s)
                for record in self._records.get_all()
                if sender.entry in self._get_holders(record.claim.key)
            ),
            self.get_missing(now_s),
        )

    def take_copies(
        self,
        sender: Member,
        answered: SyncAnswered,
        now_s: float,
    ) -> None:
        """Take what another holder knows.

        One that misses this entry's own memory has started lately too; what
        only the two of us knew is lost, and no answer can make up for it.
        """
        # A former start of the sender may have answered, whose memory is
        # gone, or a newer one that does not hold anything yet.
        if (
            answered.epoch != self._view.epoch
            or sender not in self._view.members
        ):
            return
        for copied in answered.copies:
            self._records.add(
                Record(
                    copied.claim,
                    copied.outcome,
                    copied.answer,
                    now_s - copied.age_s,
                )
            )
        if self._missing and self._own.entry not in answered.missing:
            self._missing.discard(sender.entry)

    def _may_vote(self, key: bytes, now_s: float) -> bool:
        if self._missing is None:
            return False
        holders = self._get_holders(key)
        missing = set(self.get_missing(now_s))
        return self._own.entry in holders and missing.isdisjoint(holders)

    def _describe(
        self,
        asked: ClaimAsked,
        others: list[Record],
        now_s: float,
    ) -> ClaimKnown:
        record = min(
            others,
            key=lambda one: (
                one.outcome is not ClaimOutcome.answered,
                one.outcome is not ClaimOutcome.unknown,
            ),
        )
        outcome = record.outcome
        if outcome is ClaimOutcome.started and self._is_over(record, now_s):
            outcome = ClaimOutcome.unknown
        return ClaimKnown(
            asked.claim.claim_id,
            record.claim.content_digest,
            outcome,
            record.answer,
        )

    def _is_over(self, record: Record, now_s: float) -> bool:
        claimant = Member(*record.claim.claim_id[:2])
        return (
            claimant not in self._view.members
            or now_s >= record.started_s + record.claim.max_duration_s
        )

    def _get_holders(self, key: bytes) -> tuple[str, ...]:
        return get_holders(key, self._view.entries)
