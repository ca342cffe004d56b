"""Handle entries' streams at the leader: state, leases and roster."""

from sardinemast.control._context import INTERNAL_REQUEST, ControlContext
from sardinemast.control._events import EntryConnected
from sardinemast.control._proposal_throttle import ProposalThrottle
from sardinemast.control._roster_publisher import RosterPublisher
from sardinemast.control._sessions import EntrySessions, Session
from sardinemast.control._state_streams import StateStreams
from sardinemast.fleet import RegisterEntry, RetireEntry
from sardinemast.protocol import (
    NEEDS_STATE,
    LeaseGranted,
    NotLeader,
    RenewLease,
)


class EntryHandler:
    """Register entries, renew their leases and stream state to them."""

    def __init__(
        self, context: ControlContext, sessions: EntrySessions
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._registrations = ProposalThrottle()
        self._retirements = ProposalThrottle()
        self.streams = StateStreams(context, sessions)
        self.roster = RosterPublisher(context, sessions)

    def start_term(self, term: int, now_s: float) -> None:
        """Clear leases, the roster and proposals of an earlier term."""
        self._sessions.start_term(now_s)
        self.roster.start_term(term, now_s)
        self._registrations.clear()
        self._retirements.clear()

    def end_term(self, leader: str) -> None:
        """Close all streams and redirect the entries to the next leader."""
        for stream_id in self._sessions.close_all():
            self._context.send(stream_id, NotLeader(leader))

    def connect(self, event: EntryConnected, now_s: float) -> None:
        """Open a session: register the entry, send state and roster."""
        session = Session(
            event.stream_id,
            event.entry,
            event.incarnation,
            event.host,
            event.port,
        )
        self._sessions.open(session)
        self._register(session, now_s)
        self.streams.send_snapshot(session, now_s)
        self.roster.send_snapshot(session.stream_id, now_s)

    def renew(
        self,
        session: Session,
        renewal: RenewLease,
        now_s: float,
    ) -> bool:
        """Renew the lease and return whether it was granted.

        Only the registered incarnation gets a lease, so that every serving
        entry is counted when an operator asks whether a change is in force.
        An entry that lags behind the log gets none either.
        """
        if renewal.applied_index == NEEDS_STATE:
            self.streams.send_snapshot(session, now_s)
            return False
        self._sessions.record_renewal(session.holder, renewal.applied_index)
        if not self._is_registered(session):
            self._register(session, now_s)
            return False
        if self._sessions.is_lagging(renewal.applied_index, now_s):
            self.streams.resend_snapshot(session, now_s)
            return False
        self._sessions.grant_lease(session.holder, now_s)
        self._context.send(
            session.stream_id,
            LeaseGranted(
                renewal.sent_at_s,
                self._context.lease_s,
                self._context.state.log_index,
            ),
        )
        return True

    def retire_expired(self, now_s: float) -> None:
        """Propose to retire former incarnations whose leases have expired."""
        ended = list(self._sessions.get_expired(self._context.state, now_s))
        for holder in ended:
            if self._retirements.try_start(holder, now_s):
                self._propose(RetireEntry(*holder), now_s)

    def handle_retired(self, command: RetireEntry) -> None:
        """Allow the incarnation to register again."""
        self._retirements.discard((command.name, command.incarnation))

    def _is_registered(self, session: Session) -> bool:
        # An incarnation with a pending retirement gets no lease: it would
        # still serve when the command removes it from the count.
        known = self._context.state.entries.get(session.entry)
        return (
            known is not None
            and known.incarnation == session.incarnation
            and not self._retirements.is_pending(session.holder)
        )

    def _register(self, session: Session, now_s: float) -> None:
        known = self._context.state.entries.get(session.entry)
        is_next = known is None or self._is_next(
            session,
            known.incarnation,
            now_s,
        )
        if is_next and self._registrations.try_start(session.holder, now_s):
            registration = RegisterEntry(
                *session.holder,
                session.host,
                session.port,
            )
            self._propose(registration, now_s)

    def _is_next(self, session: Session, known: int, now_s: float) -> bool:
        # Two processes with one name must not replace each other in turn. The
        # later incarnation wins; an earlier one, which a clock set back may
        # cause, waits until the other is disconnected and its lease expired.
        if session.incarnation >= known:
            return session.incarnation > known
        return not self._sessions.is_connected(session.entry, known) and (
            self._sessions.get_lease_until_s((session.entry, known)) <= now_s
        )

    def _propose(
        self,
        command: RegisterEntry | RetireEntry,
        now_s: float,
    ) -> None:
        self._context.propose(command, INTERNAL_REQUEST, now_s)
