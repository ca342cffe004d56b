"""Hold the state that the components of a replica share."""

from random import Random

from sardinemast.consensus._events import (
    AppendToLog,
    HardState,
    Output,
    Role,
    RoleChanged,
    Route,
    SaveHardState,
    SendMessage,
)
from sardinemast.consensus._log import ReplicaLog
from sardinemast.consensus._messages import LogEntry, Member, Message
from sardinemast.consensus._settings import ReplicaSettings


class ReplicaState:
    """Hold role, term, log and timers, and collect outputs of a step."""

    def __init__(
        self,
        settings: ReplicaSettings,
        identity: str,
        hard_state: HardState,
        log: ReplicaLog,
        random: Random,
    ) -> None:
        self.settings = settings
        self.identity = identity
        self.hard_state = hard_state
        self.log = log
        self.role = Role.follower
        self.leader = ''
        self.is_retired = False
        self.outputs: list[Output] = []
        self.election_due_s = float('inf')
        self.last_leader_contact_s = float('-inf')
        self._random = random
        self._joining_cluster = ''

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def cluster(self) -> str:
        """Return the cluster that this folder belongs to or is joining."""
        return self.log.configuration.cluster or self._joining_cluster

    def join_cluster(self, cluster: str) -> None:
        """Record the cluster that the sending leader belongs to."""
        self._joining_cluster = cluster

    @property
    def is_voter(self) -> bool:
        """Check whether this replica is a voter."""
        return self.log.configuration.is_voter(self.identity)

    @property
    def has_fixed_members(self) -> bool:
        """Check whether members are identified by name and never change."""
        return self.identity == self.settings.name

    def get_peers(self) -> list[Member]:
        """Return all other members."""
        return [
            member
            for member in self.log.configuration.members
            if member.identity != self.identity
        ]

    def has_quorum(self, identities: set[str]) -> bool:
        """Check whether the identities include a majority of the voters."""
        configuration = self.log.configuration
        voter_count = sum(map(configuration.is_voter, identities))
        return voter_count >= configuration.get_quorum_size()

    def get_majority_value(self, values: dict[str, float]) -> float:
        """Return the highest value that a majority of voters has reached."""
        never = float('-inf')
        configuration = self.log.configuration
        voter_values = [
            values.get(member.identity, never)
            for member in configuration.members
            if member.is_voter
        ]
        voter_values.sort(reverse=True)
        return voter_values[len(voter_values) // 2]

    def has_live_leader(self, now_s: float) -> bool:
        """Check whether this replica leads or heard a leader lately."""
        timeout_s = self.settings.election_timeout_s
        return (
            self.role is Role.leader
            or now_s < self.last_leader_contact_s + timeout_s
        )

    def save_hard_state(self, hard_state: HardState) -> None:
        """Set term and vote, synced before later outputs."""
        self.hard_state = hard_state
        self.outputs.append(SaveHardState(hard_state))

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Merge entries into the log, synced before later outputs."""
        added = self.log.merge(entries)
        if added:
            self.outputs.append(AppendToLog(added))

    def send(self, to: Member, message: Message) -> None:
        """Send a message to the folder of a member."""
        route = Route()
        if not self.has_fixed_members:
            route = Route(self.identity, to.identity, self.cluster)
        self.outputs.append(SendMessage(to.name, message, route))

    def change_role(self, role: Role) -> None:
        """Set the role, and output a change of it."""
        if role is not self.role:
            self.role = role
            self.outputs.append(RoleChanged(role, self.term))

    def become_follower(self, now_s: float) -> None:
        """Become a follower without a known leader."""
        self.change_role(Role.follower)
        self.leader = ''
        self.reset_election_timer(now_s)

    def reset_election_timer(self, now_s: float) -> None:
        """Schedule the next election after a random timeout."""
        jitter = 1 + self._random.random()
        self.election_due_s = now_s + self.settings.election_timeout_s * jitter
