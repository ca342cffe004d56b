"""The leader's side of upstreams: announcements in, roster out."""

from sardinemast.control._context import INTERNAL_REQUEST, ControlContext
from sardinemast.control._sessions import EntrySessions
from sardinemast.fleet import Instance, RegisterInstances
from sardinemast.membership import (
    Announcement,
    Roster,
    RosterUpstream,
    decode_handles,
)
from sardinemast.protocol import (
    HeardUpstreams,
    ReportUpstreams,
    RosterChanged,
)

_CHECK_INTERVAL_S = 0.4
_PLACE_INTERVAL_S = 0.5
_PLACED_AT_ONCE = 500


class RosterPublisher:
    """Keep the roster while this process leads, and tell entries of it."""

    def __init__(
        self,
        context: ControlContext,
        sessions: EntrySessions,
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._roster = Roster()
        self._epoch = 0
        self._is_complete = False
        self._is_changed = False
        self._checked_s = float('-inf')
        self._placed_s = float('-inf')

    def start_term(self, term: int, now_s: float) -> None:
        """Begin a roster that entries fill by what they heard."""
        self._roster.start_term(now_s)
        self._epoch = term
        self._is_complete = False

    def take_report(self, report: ReportUpstreams, now_s: float) -> None:
        """Take what upstreams announced to an entry."""
        ages_s = report.ages_s or (0,) * len(report.announcements)
        for announcement, age_s in zip(
            report.announcements,
            ages_s,
            strict=False,
        ):
            self._roster.accept_announcement(announcement, now_s, age_s)
        self._is_changed = True

    def take_digest(self, digest: HeardUpstreams, now_s: float) -> None:
        """Renew the leases of upstreams that an entry heard again."""
        if digest.epoch == self._epoch:
            for handle in decode_handles(digest.handles):
                self._roster.renew(handle, now_s)

    def send_whole(self, stream_id: int, now_s: float) -> None:
        """Send all that entries have been told."""
        whole = RosterChanged(
            *_split(self._roster.get_published()),
            epoch=self._epoch,
            is_complete=self._is_complete,
        )
        self._context.send(stream_id, whole)

    def check(self, now_s: float) -> None:
        """Drop the silent, place the unknown, and tell entries."""
        is_due = now_s >= self._checked_s + _CHECK_INTERVAL_S
        if not is_due and not self._is_changed:
            return
        self._checked_s = now_s
        self._is_changed = False
        self._roster.expire(now_s)
        self._send_changes(now_s)
        self._place_unknown(now_s)

    def _send_changes(self, now_s: float) -> None:
        changes = self._roster.publish_changes(now_s)
        if self._roster.is_complete(now_s) and not self._is_complete:
            self._is_complete = True
            for stream_id in self._sessions.sessions:
                self.send_whole(stream_id, now_s)
        elif changes.changed or changes.removed_handles:
            message = RosterChanged(
                *_split(changes.changed),
                changes.removed_handles,
                self._epoch,
                is_snapshot=False,
            )
            for stream_id in self._sessions.sessions:
                self._context.send(stream_id, message)

    def _place_unknown(self, now_s: float) -> None:
        # An instance that the log does not know goes into the pool that it
        # announces; from then on only an operator or a move changes that.
        if now_s < self._placed_s + _PLACE_INTERVAL_S:
            return
        state = self._context.state
        unknown = [
            Instance(one.instance, one.pool)
            for one in self._roster.upstreams
            if one.instance not in state.instances
            and one.pool in state.document.pools
        ]
        if unknown:
            self._placed_s = now_s
            command = RegisterInstances(tuple(unknown[:_PLACED_AT_ONCE]))
            self._context.propose(command, INTERNAL_REQUEST, now_s)


def _split(
    upstreams: tuple[RosterUpstream, ...],
) -> tuple[tuple[Announcement, ...], tuple[int, ...]]:
    return (
        tuple(one.announcement for one in upstreams),
        tuple(one.handle for one in upstreams),
    )
