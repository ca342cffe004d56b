"""The leader's side of entries' streams: state, leases, the roster."""

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
    """Serve entries while this process leads."""

    def __init__(
        self, context: ControlContext, sessions: EntrySessions
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._registering = ProposalThrottle()
        self._retiring = ProposalThrottle()
        self.streams = StateStreams(context, sessions)
        self.rosters = RosterPublisher(context, sessions)

    def start_term(self, term: int, now_s: float) -> None:
        """Forget what was known and under way in a former term."""
        self._sessions.start_term(now_s)
        self.rosters.start_term(term, now_s)
        self._registering.clear()
        self._retiring.clear()

    def end_term(self, leader: str) -> None:
        """Send all entries to the next leader."""
        for stream_id in self._sessions.close_all():
            self._context.send(stream_id, NotLeader(leader))

    def connect(self, event: EntryConnected, now_s: float) -> None:
        """Open a stream: register the entry, send state and roster."""
        session = Session(
            event.stream_id,
            event.entry,
            event.incarnation,
            event.host,
            event.port,
        )
        self._sessions.open(session)
        self._register(session, now_s)
        self.streams.send_whole(session, now_s)
        self.rosters.send_whole(session.stream_id, now_s)

    def renew(
        self,
        session: Session,
        renewal: RenewLease,
        now_s: float,
    ) -> bool:
        """Renew the lease of the incarnation that the log knows.

        Any other gets none, so that the count of entries in force misses
        nobody who serves. Neither does one that lags.
        """
        if renewal.applied_index == NEEDS_STATE:
            self.streams.send_whole(session, now_s)
            return False
        self._sessions.note_renewal(session.holder, renewal.applied_index)
        if not self._is_registered(session):
            self._register(session, now_s)
            return False
        if self._sessions.is_lagging(renewal.applied_index, now_s):
            self.streams.send_whole_again(session, now_s)
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

    def retire_ended(self, now_s: float) -> None:
        """Forget incarnations that surely have no lease."""
        ended = list(self._sessions.get_ended(self._context.state, now_s))
        for holder in ended:
            if self._retiring.take_turn(holder, now_s):
                self._propose(RetireEntry(*holder), now_s)

    def note_retired(self, command: RetireEntry) -> None:
        """Let the incarnation be registered anew."""
        self._retiring.forget((command.name, command.incarnation))

    def _is_registered(self, session: Session) -> bool:
        # Once a retirement is on its way, the incarnation gets no lease: it
        # would have one when the command takes it out of the count.
        known = self._context.state.entries.get(session.entry)
        return (
            known is not None
            and known.incarnation == session.incarnation
            and not self._retiring.has_proposed(session.holder)
        )

    def _register(self, session: Session, now_s: float) -> None:
        known = self._context.state.entries.get(session.entry)
        is_next = known is None or self._is_next(
            session,
            known.incarnation,
            now_s,
        )
        if is_next and self._registering.take_turn(session.holder, now_s):
            registration = RegisterEntry(
                *session.holder,
                session.host,
                session.port,
            )
            self._propose(registration, now_s)

    def _is_next(self, session: Session, known: int, now_s: float) -> bool:
        # Two processes under one name must not take the lease from each
        # other in turn. The later start wins; an earlier one (its clock may
        # have been set back) waits until the other is surely gone.
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
