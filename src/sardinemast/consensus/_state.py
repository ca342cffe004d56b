"""State that the parts of a replica share."""

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
    """Hold role, term, log and timers, and collect the outputs of a step."""

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
        self.heard_leader_s = float('-inf')
        self._random = random
        self._heard_cluster = ''

    @property
    def term(self) -> int:
        """Give the current term."""
        return self.hard_state.term

    @property
    def cluster(self) -> str:
        """Give the cluster that this folder belongs to or is joining."""
        return self.log.configuration.cluster or self._heard_cluster

    def join_cluster(self, cluster: str) -> None:
        """Take the cluster of a leader that sends to this empty folder."""
        self._heard_cluster = cluster

    @property
    def is_voter(self) -> bool:
        """Tell whether this replica counts in a majority."""
        return self.log.configuration.is_voter(self.identity)

    @property
    def has_fixed_members(self) -> bool:
        """Tell whether replicas run under their names, without identities."""
        return self.identity == self.settings.name

    def get_peers(self) -> list[Member]:
        """Give all other members."""
        return [
            member
            for member in self.log.configuration.members
            if member.identity != self.identity
        ]

    def has_quorum(self, identities: set[str]) -> bool:
        """Tell whether a majority of the voters is among the identities."""
        configuration = self.log.configuration
        found = sum(map(configuration.is_voter, identities))
        return found >= configuration.get_quorum_size()

    def get_agreed(self, figures: dict[str, float]) -> float:
        """Give the highest figure that a majority of voters has reached."""
        never = float('-inf')
        configuration = self.log.configuration
        reached = [
            figures.get(member.identity, never)
            for member in configuration.members
            if member.is_voter
        ]
        reached.sort(reverse=True)
        return reached[len(reached) // 2]

    def is_settled(self, now_s: float) -> bool:
        """Tell whether a leader that may trust its lease was heard."""
        timeout_s = self.settings.election_timeout_s
        return (
            self.role is Role.leader or now_s < self.heard_leader_s + timeout_s
        )

    def save(self, hard_state: HardState) -> None:
        """Take a term and vote, synced before what follows."""
        self.hard_state = hard_state
        self.outputs.append(SaveHardState(hard_state))

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Put entries into the log, synced before what follows."""
        fresh = self.log.put(entries)
        if fresh:
            self.outputs.append(AppendToLog(fresh))

    def send(self, to: Member, message: Message) -> None:
        """Send a message to a member's folder."""
        route = Route()
        if not self.has_fixed_members:
            route = Route(self.identity, to.identity, self.cluster)
        self.outputs.append(SendMessage(to.name, message, route))

    def become(self, role: Role) -> None:
        """Take a role, and tell where it is another one."""
        if role is not self.role:
            self.role = role
            self.outputs.append(RoleChanged(role, self.term))

    def become_follower(self, now_s: float) -> None:
        """Follow, with no leader known yet."""
        self.become(Role.follower)
        self.leader = ''
        self.reset_election(now_s)

    def reset_election(self, now_s: float) -> None:
        """Wait for a random time before the next election."""
        spread = 1 + self._random.random()
        self.election_due_s = now_s + self.settings.election_timeout_s * spread
