"""Bootstrap a cluster once every voter of the settings has an empty folder.

The founder, whose name sorts first, proposes the first configuration.
A folder that is lost later is empty as well, and must not bootstrap a second,
empty cluster. So all voters of the settings must accept and sync the first
configuration before an election starts, and a folder accepts only one.
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
    """Create the first configuration, or ask to join a cluster."""

    def __init__(self, state: ReplicaState, folder: FolderIdentity) -> None:
        self._state = state
        self._folder_identity = folder
        self._identity_by_name: dict[str, str] = {}
        self._accepted_identities: set[str] = set()
        self._next_request_s = float('-inf')
        self._hinted_names: set[str] = set()
        self.is_active = (
            state.has_fixed_members
            or state.term > 0
            or state.log.last_index > 1
        )

    @property
    def is_empty(self) -> bool:
        """Check whether this folder belongs to no cluster yet."""
        return not self._state.log.configuration.members

    def tick(self, now_s: float) -> None:
        """Send join requests, or as the founder ask again for acceptance."""
        is_waiting = not self.is_active or self._needs_to_join(now_s)
        if not is_waiting or now_s < self._next_request_s:
            return
        self._next_request_s = now_s + self._state.settings.heartbeat_s
        if self._needs_to_join(now_s):
            self._send_join_requests()
            self._propose_first_configuration()
        elif self._is_founder():
            self._send_found_requests()

    def receive_join(self, event: MessageReceived, may_found: bool) -> None:
        """Record the folder of another process that is empty too."""
        if may_found and self.is_empty:
            self._identity_by_name[event.sender] = event.route.sender
            self._propose_first_configuration()

    def receive_hint(self, hint: JoinHint) -> None:
        """Send later join requests to these replicas as well."""
        self._hinted_names.update(hint.names)

    def receive_request(
        self,
        event: MessageReceived,
        configuration: Configuration,
    ) -> None:
        """Accept the first configuration; a folder does so only once."""
        state = self._state
        if configuration.find(state.identity) is None:
            return
        if self.is_empty and self._folder_identity.may_found:
            state.append((LogEntry(1, 0, b'', configuration),))
        # The acceptance stays valid if the configuration has changed since.
        if state.log.configuration.cluster == configuration.cluster:
            founder = Member(event.route.sender, event.sender, is_voter=True)
            state.send(founder, FoundReply())

    def receive_reply(self, event: MessageReceived) -> None:
        """Record an acceptance, and allow elections after the last one."""
        state = self._state
        if event.route.cluster != state.log.configuration.cluster:
            return
        if self._is_founder():
            self._accepted_identities.add(event.route.sender)
            self._activate_if_all_accepted()

    def _needs_to_join(self, now_s: float) -> bool:
        # A learner whose leader was deposed before its addition was committed
        # is missing from all other configurations, and would wait forever.
        timeout_s = self._state.settings.election_timeout_s
        is_leader_silent = (
            now_s >= self._state.last_leader_contact_s + timeout_s
        )
        return self.is_empty or (is_leader_silent and not self._state.is_voter)

    def _is_founder(self) -> bool:
        return self._state.log.configuration.cluster == self._state.identity

    def _send_join_requests(self) -> None:
        state = self._state
        may_found = self._folder_identity.may_found and self.is_empty
        request: Message = JoinRequest(may_found)
        for name in sorted({*state.settings.voters, *self._hinted_names}):
            if name != state.settings.name:
                route = Route(state.identity)
                state.outputs.append(SendMessage(name, request, route))

    def _propose_first_configuration(self) -> None:
        state = self._state
        names = state.settings.voters
        others = set(names) - {state.settings.name}
        is_due = (
            state.settings.name == min(names)
            and self._folder_identity.may_found
        )
        if (
            not is_due
            or not self.is_empty
            or others - self._identity_by_name.keys()
        ):
            return
        identities = {
            **self._identity_by_name,
            state.settings.name: state.identity,
        }
        members = tuple(
            Member(identities[name], name, is_voter=True) for name in names
        )
        configuration = Configuration(state.identity, members)
        state.append((LogEntry(1, 0, b'', configuration),))
        self._send_found_requests()
        self._activate_if_all_accepted()

    def _send_found_requests(self) -> None:
        state = self._state
        for peer in state.get_peers():
            state.send(peer, FoundRequest(state.log.configuration))

    def _activate_if_all_accepted(self) -> None:
        missing = {peer.identity for peer in self._state.get_peers()}
        self.is_active = (
            self.is_active or not missing - self._accepted_identities
        )
