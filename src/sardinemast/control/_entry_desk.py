"""The leader's side of entries' streams: state, leases, the roster."""

from sardinemast.control._context import INTERNAL_REQUEST, ControlContext
from sardinemast.control._events import EntryConnected
from sardinemast.control._sessions import EntrySessions, Session
from sardinemast.fleet import AssignInstance, RegisterEntry, dump_state
from sardinemast.membership import Announcement, Roster
from sardinemast.protocol import (
    AppliedCommand,
    ControlMessage,
    LeaseGranted,
    RenewLease,
    ReportUpstreams,
    RosterChanged,
    StateChanged,
    StateReplaced,
)


class EntryDesk:
    """Serve entries while this process leads."""

    def __init__(
        self, context: ControlContext, sessions: EntrySessions
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._roster = Roster()
        self._fresh: list[AppliedCommand] = []

    def connect(self, event: EntryConnected, now_s: float) -> None:
        """Open a stream: register the entry, send state and roster."""
        session = Session(event.stream_id, event.entry, event.incarnation)
        self._sessions.open(session)
        known = self._context.state.entries.get(event.entry)
        if known is None or known.incarnation != event.incarnation:
            self._context.propose(
                RegisterEntry(
                    event.entry,
                    event.incarnation,
                    event.host,
                    event.port,
                ),
                INTERNAL_REQUEST,
                now_s,
            )
        image = dump_state(self._context.state)
        self._context.send(event.stream_id, StateReplaced(image))
        self._context.send(
            event.stream_id,
            RosterChanged(self._roster.announcements),
        )

    def renew(
        self,
        session: Session,
        renewal: RenewLease,
        now_s: float,
    ) -> bool:
        """Renew the lease of the incarnation that the log knows.

        Any other gets none, so that the count of entries in force misses
        nobody who serves.
        """
        registered = self._context.state.entries.get(session.entry)
        if registered is None or registered.incarnation != session.incarnation:
            return False
        self._sessions.note_renewal(session.entry, renewal.applied_index)
        holder = (session.entry, session.incarnation)
        self._sessions.grant_lease(holder, now_s)
        self._context.send(
            session.stream_id,
            LeaseGranted(renewal.sent_at_s, self._context.lease_s),
        )
        return True

    def take_report(self, report: ReportUpstreams, now_s: float) -> None:
        """Take what upstreams announced to an entry."""
        is_changed = False
        for announcement in report.announcements:
            is_changed |= self._roster.take_announcement(announcement, now_s)
            self._place(announcement, now_s)
        if is_changed:
            self._send_roster()

    def expire_upstreams(self, now_s: float) -> None:
        """Drop upstreams that have gone silent."""
        if self._roster.expire(now_s):
            self._send_roster()

    def note_applied(self, applied: AppliedCommand) -> None:
        """Note a command for the entries."""
        self._fresh.append(applied)

    def send_fresh(self) -> None:
        """Send the entries what was applied since the last call."""
        if self._fresh:
            self._send_all(StateChanged(tuple(self._fresh)))
            self._fresh = []

    def _place(self, announcement: Announcement, now_s: float) -> None:
        # An instance that the log does not know goes into the pool that it
        # announces; from then on only an operator or a move changes that.
        state = self._context.state
        if (
            announcement.instance not in state.instances
            and announcement.pool in state.document.pools
        ):
            self._context.propose(
                AssignInstance('', announcement.instance, announcement.pool),
                INTERNAL_REQUEST,
                now_s,
            )

    def _send_roster(self) -> None:
        self._send_all(RosterChanged(self._roster.announcements))

    def _send_all(self, message: ControlMessage) -> None:
        for stream_id in self._sessions.sessions:
            self._context.send(stream_id, message)
