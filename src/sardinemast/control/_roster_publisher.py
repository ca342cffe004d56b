"""Maintain the roster of upstreams at the leader."""

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
_REGISTER_INTERVAL_S = 0.5
_MAX_REGISTERED_AT_ONCE = 500


class RosterPublisher:
    """Collect announcements of upstreams and publish the roster."""

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
        self._registered_s = float('-inf')

    def start_term(self, term: int, now_s: float) -> None:
        """Start an empty roster, to be filled from entries' reports."""
        self._roster.start_term(now_s)
        self._epoch = term
        self._is_complete = False

    def handle_report(self, report: ReportUpstreams, now_s: float) -> None:
        """Record what upstreams announced to an entry."""
        ages_s = report.ages_s or (0,) * len(report.announcements)
        for announcement, age_s in zip(
            report.announcements,
            ages_s,
            strict=False,
        ):
            self._roster.accept_announcement(announcement, now_s, age_s)
        self._is_changed = True

    def handle_digest(self, digest: HeardUpstreams, now_s: float) -> None:
        """Renew the leases of unchanged upstreams that an entry heard."""
        if digest.epoch == self._epoch:
            for handle in decode_handles(digest.handles):
                self._roster.renew(handle, now_s)

    def send_snapshot(self, stream_id: int, now_s: float) -> None:
        """Send the published roster on a new or reset stream."""
        snapshot = RosterChanged(
            *_split(self._roster.get_published()),
            epoch=self._epoch,
            is_complete=self._is_complete,
        )
        self._context.send(stream_id, snapshot)

    def check(self, now_s: float) -> None:
        """Expire and register upstreams, and publish changes."""
        is_due = now_s >= self._checked_s + _CHECK_INTERVAL_S
        if not is_due and not self._is_changed:
            return
        self._checked_s = now_s
        self._is_changed = False
        self._roster.expire(now_s)
        self._send_changes(now_s)
        self._register_unknown(now_s)

    def _send_changes(self, now_s: float) -> None:
        changes = self._roster.publish_changes(now_s)
        if self._roster.is_complete(now_s) and not self._is_complete:
            self._is_complete = True
            for stream_id in self._sessions.sessions:
                self.send_snapshot(stream_id, now_s)
        elif changes.changed or changes.removed_handles:
            message = RosterChanged(
                *_split(changes.changed),
                changes.removed_handles,
                self._epoch,
                is_snapshot=False,
            )
            for stream_id in self._sessions.sessions:
                self._context.send(stream_id, message)

    def _register_unknown(self, now_s: float) -> None:
        # An unregistered instance joins the pool that it announces; after that
        # only an operator or a move assigns it to another pool.
        if now_s < self._registered_s + _REGISTER_INTERVAL_S:
            return
        state = self._context.state
        unknown = [
            Instance(one.instance, one.pool)
            for one in self._roster.upstreams
            if one.instance not in state.instances
            and one.pool in state.document.pools
        ]
        if unknown:
            self._registered_s = now_s
            command = RegisterInstances(
                tuple(unknown[:_MAX_REGISTERED_AT_ONCE])
            )
            self._context.propose(command, INTERNAL_REQUEST, now_s)


def _split(
    upstreams: tuple[RosterUpstream, ...],
) -> tuple[tuple[Announcement, ...], tuple[int, ...]]:
    return (
        tuple(one.announcement for one in upstreams),
        tuple(one.handle for one in upstreams),
    )
