"""State that goes out on entries' streams, each command once and in order."""

from sardinemast.control._context import ControlContext
from sardinemast.control._sessions import EntrySessions, Session
from sardinemast.fleet import EntryUpdate, dump_for_entry
from sardinemast.protocol import AppliedCommand, StateChanged, StateReplaced

_EMPTY_INTERVAL_S = 0.1
_WHOLE_INTERVAL_S = 2.0


class StateStreams:
    """Know up to which index each stream has been sent the log."""

    def __init__(
        self,
        context: ControlContext,
        sessions: EntrySessions,
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._sent_index: dict[int, int] = {}
        self._sent_s: dict[int, float] = {}
        self._whole_s: dict[int, float] = {}
        self._fresh: list[EntryUpdate] = []

    def send_whole(self, session: Session, now_s: float) -> None:
        """Send the state as it is now."""
        state = self._context.state
        image = dump_for_entry(state, session.entry, session.incarnation)
        self._context.send(session.stream_id, StateReplaced(image))
        self._sent_index[session.stream_id] = state.log_index
        self._whole_s[session.stream_id] = now_s

    def send_whole_again(self, session: Session, now_s: float) -> None:
        """Send the state to an entry that stays behind, now and then.

        Should a message have been lost after which none came, the entry
        cannot know, and would have no lease until the next change.
        """
        if now_s >= self._whole_s[session.stream_id] + _WHOLE_INTERVAL_S:
            self.send_whole(session, now_s)

    def note_applied(self, applied: EntryUpdate) -> None:
        """Note a command for the entries."""
        if self._sessions.sessions:
            self._fresh.append(applied)

    def send_fresh(self, now_s: float) -> None:
        """Send the entries what was applied since the last call."""
        for session in self._sessions.sessions.values():
            self._send_fresh(session, now_s)
        self._fresh.clear()

    def forget_closed(self) -> None:
        """Drop what is known of streams that have ended."""
        for stream_id in self._sent_index.keys() - self._sessions.sessions:
            self._sent_index.pop(stream_id)
            self._whole_s.pop(stream_id)
            self._sent_s.pop(stream_id, None)

    def _send_fresh(self, session: Session, now_s: float) -> None:
        stream_id = session.stream_id
        sent_index = self._sent_index[stream_id]
        log_index = self._context.state.log_index
        commands = self._select(session, sent_index)
        sent_s = self._sent_s.get(stream_id, now_s - _EMPTY_INTERVAL_S)
        # Most commands change grants of other entries. The index alone is
        # sent now and then, or it would cost as much as the commands.
        is_due = bool(commands) or now_s >= sent_s + _EMPTY_INTERVAL_S
        if log_index > sent_index and is_due:
            changed = StateChanged(commands, sent_index, log_index)
            self._context.send(stream_id, changed)
            self._sent_index[stream_id] = log_index
            self._sent_s[stream_id] = now_s

    def _select(
        self,
        session: Session,
        sent_index: int,
    ) -> tuple[AppliedCommand, ...]:
        return tuple(
            AppliedCommand(one.log_index, payload)
            for one in self._fresh
            for payload in (
                one.payload,
                one.payload_by_holder.get(session.holder, b''),
            )
            if payload and one.log_index > sent_index
        )
