"""Hold claims on keys for all entries."""

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


class KeyHolder:
    """Record claims, and vote only on keys whose claims are all known.

    Claims are kept in memory only. A process that has just started could
    complete a majority that does not know an earlier claim, and the request
    would run twice. Therefore it first syncs with the other holders of a
    key, or waits until any claim it may have lost has expired.
    """

    def __init__(self, own: Member, now_s: float) -> None:
        self._own = own
        self._started_s = now_s
        self._view = View(0, ())
        self._records = RecordTable()
        self._unsynced: set[str] | None = None

    def handle_view(self, view: View) -> None:
        """Apply a newer view, and choose the entries to sync with.

        Those are the members of the first view that lists this incarnation.
        Entries that register later sync with this one, so that two entries
        that start for the first time do not wait for each other.
        """
        self._view = view
        if self._unsynced is None and self._own in view.members:
            self._unsynced = {member.entry for member in view.members}
            self._unsynced.discard(self._own.entry)

    def get_unsynced(self, now_s: float) -> tuple[str, ...]:
        """Return the entries that this one has not synced with yet."""
        if now_s >= self._started_s + RETENTION_S:
            return ()
        return tuple(sorted(self._unsynced or ()))

    def is_synced(self, now_s: float) -> bool:
        """Check whether this entry may vote on every key that it holds."""
        return self._unsynced is not None and not self.get_unsynced(now_s)

    def expire(self, now_s: float) -> None:
        """Remove expired claims."""
        self._records.expire(now_s)

    def handle_claim(
        self,
        asked: ClaimAsked,
        now_s: float,
    ) -> ClaimGranted | ClaimKnown | None:
        """Record a claim, report the known one instead, or abstain."""
        self._records.expire(now_s)
        claim = asked.claim
        if asked.epoch != self._view.epoch or not self._may_vote(
            claim.key, now_s
        ):
            return None
        known = self._records.get(claim.key)
        other_claims = [
            record
            for record in known
            if record.claim.claim_id != claim.claim_id
        ]
        if other_claims:
            return self._report_known(asked, other_claims, now_s)
        if known and known[0].outcome is not ClaimOutcome.started:
            return None
        if not known:
            if self._records.is_full():
                return None
            self._records.add(Record(claim, ClaimOutcome.started, None, now_s))
        return ClaimGranted(asked.epoch, claim.claim_id)

    def handle_end(self, ended: ClaimEnded) -> None:
        """Record how a claim ended."""
        answer = ended.answer
        if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
            answer = None
        self._records.end(ended.key, ended.claim_id, ended.outcome, answer)

    def handle_sync_request(
        self,
        sender: Member,
        asked: SyncAsked,
        now_s: float,
    ) -> SyncAnswered | None:
        """Return the claims that the sender should hold, in equal epochs only.

        Claims of older epochs are no longer granted here, so no claim that
        the sender has to know can be granted after this answer.
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
            self.get_unsynced(now_s),
        )

    def handle_copies(
        self,
        sender: Member,
        answered: SyncAnswered,
        now_s: float,
    ) -> None:
        """Store the claims of another holder.

        A sender that still has to sync with this entry has restarted too.
        Claims known only to the two are lost, so its answer does not count
        as a sync.
        """
        # The answer may come from an earlier incarnation of the sender, whose
        # claims are lost, or from a newer one that holds none yet.
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
        if self._unsynced and self._own.entry not in answered.unsynced:
            self._unsynced.discard(sender.entry)

    def _may_vote(self, key: bytes, now_s: float) -> bool:
        if self._unsynced is None:
            return False
        holders = self._get_holders(key)
        unsynced = set(self.get_unsynced(now_s))
        return self._own.entry in holders and unsynced.isdisjoint(holders)

    def _report_known(
        self,
        asked: ClaimAsked,
        other_claims: list[Record],
        now_s: float,
    ) -> ClaimKnown:
        record = min(
            other_claims,
            key=lambda candidate: (
                candidate.outcome is not ClaimOutcome.answered,
                candidate.outcome is not ClaimOutcome.unknown,
            ),
        )
        outcome = record.outcome
        if outcome is ClaimOutcome.started and self._is_orphaned(record, now_s):
            outcome = ClaimOutcome.unknown
        return ClaimKnown(
            asked.claim.claim_id,
            record.claim.content_digest,
            outcome,
            record.answer,
        )

    def _is_orphaned(self, record: Record, now_s: float) -> bool:
        claimant = Member(*record.claim.claim_id[:2])
        return (
            claimant not in self._view.members
            or now_s >= record.started_s + record.claim.max_duration_s
        )

    def _get_holders(self, key: bytes) -> tuple[str, ...]:
        return get_holders(key, self._view.entries)
