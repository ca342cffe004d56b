"""Replicated state on entries' streams, each command once and in order."""

from sardinemast.control._context import ControlContext
from sardinemast.control._sessions import EntrySessions, Session
from sardinemast.fleet import EntryUpdate, dump_for_entry
from sardinemast.protocol import AppliedCommand, StateChanged, StateReplaced

_INDEX_INTERVAL_S = 0.1
_RESEND_INTERVAL_S = 2.0


class StateStreams:
    """Send entries the state and then the commands that change it."""

    def __init__(
        self,
        context: ControlContext,
        sessions: EntrySessions,
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._sent_index: dict[int, int] = {}
        self._sent_s: dict[int, float] = {}
        self._snapshot_sent_s: dict[int, float] = {}
        self._unsent: list[EntryUpdate] = []

    def send_snapshot(self, session: Session, now_s: float) -> None:
        """Send the whole current state."""
        state = self._context.state
        image = dump_for_entry(state, session.entry, session.incarnation)
        self._context.send(session.stream_id, StateReplaced(image))
        self._sent_index[session.stream_id] = state.log_index
        self._snapshot_sent_s[session.stream_id] = now_s

    def resend_snapshot(self, session: Session, now_s: float) -> None:
        """Send the whole state again, at most every ``_RESEND_INTERVAL_S``.

        An entry cannot detect the loss of the latest message, and would get
        no lease until the next change.
        """
        if (
            now_s
            >= self._snapshot_sent_s[session.stream_id] + _RESEND_INTERVAL_S
        ):
            self.send_snapshot(session, now_s)

    def handle_applied(self, applied: EntryUpdate) -> None:
        """Queue an applied command for the entries."""
        if self._sessions.sessions:
            self._unsent.append(applied)

    def send_applied(self, now_s: float) -> None:
        """Send the entries the commands queued since the last call."""
        for session in self._sessions.sessions.values():
            self._send_applied(session, now_s)
        self._unsent.clear()

    def discard_closed(self) -> None:
        """Discard the positions of closed streams."""
        for stream_id in self._sent_index.keys() - self._sessions.sessions:
            self._sent_index.pop(stream_id)
            self._snapshot_sent_s.pop(stream_id)
            self._sent_s.pop(stream_id, None)

    def _send_applied(self, session: Session, now_s: float) -> None:
        stream_id = session.stream_id
        sent_index = self._sent_index[stream_id]
        log_index = self._context.state.log_index
        commands = self._select_commands(session, sent_index)
        sent_s = self._sent_s.get(stream_id, now_s - _INDEX_INTERVAL_S)
        # Most commands concern other entries. A bare index is sent at most
        # every _INDEX_INTERVAL_S, since it costs as much as a command.
        is_due = bool(commands) or now_s >= sent_s + _INDEX_INTERVAL_S
        if log_index > sent_index and is_due:
            changed = StateChanged(commands, sent_index, log_index)
            self._context.send(stream_id, changed)
            self._sent_index[stream_id] = log_index
            self._sent_s[stream_id] = now_s

    def _select_commands(
        self,
        session: Session,
        sent_index: int,
    ) -> tuple[AppliedCommand, ...]:
        return tuple(
            AppliedCommand(one.log_index, payload)
            for one in self._unsent
            for payload in (
                one.payload,
                one.payload_by_holder.get(session.holder, b''),
            )
            if payload and one.log_index > sent_index
        )
