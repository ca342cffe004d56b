"""Found a cluster once, when every named process has an empty folder.

A folder that is lost later is empty as well. It must not make a first
configuration by itself, or an empty cluster would answer operators. So the
first configuration needs the synced word of all processes that the settings
name, and a folder gives its word once. Nobody votes in it before all have.
"""

from sardinemast.consensus._events import MessageReceived, Route, SendMessage
from sardinemast.consensus._messages import (
    Configuration,
    FoundReply,
    FoundRequest,
    JoinHint,
    JoinRequest,
    LogEntry,
    Member,
    Message,
)
from sardinemast.consensus._settings import FolderIdentity
from sardinemast.consensus._state import ReplicaState


class Bootstrap:
    """Make the first configuration, or ask to be taken in."""

    def __init__(self, state: ReplicaState, folder: FolderIdentity) -> None:
        self._state = state
        self._folder = folder
        self._joining: dict[str, str] = {}
        self._accepted: set[str] = set()
        self._ask_due_s = float('-inf')
        self._hinted: set[str] = set()
        self.is_active = (
            state.has_fixed_members
            or state.term > 0
            or state.log.last_index > 1
        )

    @property
    def is_empty(self) -> bool:
        """Tell whether this folder belongs to no cluster yet."""
        return not self._state.log.configuration.members

    def tick(self, now_s: float) -> None:
        """Ask to be taken in, or for what is missing of the founding."""
        is_waiting = not self.is_active or self._is_left_out(now_s)
        if not is_waiting or now_s < self._ask_due_s:
            return
        self._ask_due_s = now_s + self._state.settings.heartbeat_s
        if self._is_left_out(now_s):
            self._ask_to_join()
            self._propose()
        elif self._is_founder():
            self._offer()

    def receive_join(self, event: MessageReceived, may_found: bool) -> None:
        """Note that a named process has an empty folder too."""
        if may_found and self.is_empty:
            self._joining[event.sender] = event.route.sender
            self._propose()

    def receive_hint(self, hint: JoinHint) -> None:
        """Ask these replicas too."""
        self._hinted.update(hint.names)

    def receive_request(
        self,
        event: MessageReceived,
        configuration: Configuration,
    ) -> None:
        """Accept the first configuration, once in the life of a folder."""
        state = self._state
        if configuration.find(state.identity) is None:
            return
        if self.is_empty and self._folder.may_found:
            state.append((LogEntry(1, 0, b'', configuration),))
        # A folder that has gone on since still holds its word.
        if state.log.configuration.cluster == configuration.cluster:
            founder = Member(event.route.sender, event.sender, is_voter=True)
            state.send(founder, FoundReply())

    def receive_reply(self, event: MessageReceived) -> None:
        """Count who has accepted, and go on once all have."""
        state = self._state
        if event.route.cluster != state.log.configuration.cluster:
            return
        if self._is_founder():
            self._accepted.add(event.route.sender)
            self._check_all_accepted()

    def _is_left_out(self, now_s: float) -> bool:
        # A learner whose leader was deposed before the change was committed
        # stands in nobody's configuration, and would wait for ever.
        timeout_s = self._state.settings.election_timeout_s
        is_silent = now_s >= self._state.heard_leader_s + timeout_s
        return self.is_empty or (is_silent and not self._state.is_voter)

    def _is_founder(self) -> bool:
        return self._state.log.configuration.cluster == self._state.identity

    def _ask_to_join(self) -> None:
        state = self._state
        may_found = self._folder.may_found and self.is_empty
        request: Message = JoinRequest(may_found)
        for name in sorted({*state.settings.voters, *self._hinted}):
            if name != state.settings.name:
                route = Route(state.identity)
                state.outputs.append(SendMessage(name, request, route))

    def _propose(self) -> None:
        state = self._state
        names = state.settings.voters
        others = set(names) - {state.settings.name}
        is_due = state.settings.name == min(names) and self._folder.may_found
        if not is_due or not self.is_empty or others - self._joining.keys():
            return
        identities = {**self._joining, state.settings.name: state.identity}
        members = tuple(
            Member(identities[name], name, is_voter=True) for name in names
        )
        configuration = Configuration(state.identity, members)
        state.append((LogEntry(1, 0, b'', configuration),))
        self._offer()
        self._check_all_accepted()

    def _offer(self) -> None:
        state = self._state
        for peer in state.get_peers():
            state.send(peer, FoundRequest(state.log.configuration))

    def _check_all_accepted(self) -> None:
        missing = {one.identity for one in self._state.get_peers()}
        self.is_active = self.is_active or not missing - self._accepted
