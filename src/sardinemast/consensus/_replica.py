"""One replica of the log, without input or output.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote and a leader
lease that counts from the moment a heartbeat was sent.
"""

from functools import singledispatchmethod
from random import Random

from sardinemast.consensus._bootstrap import Bootstrap
from sardinemast.consensus._commit import Commits
from sardinemast.consensus._elections import Elections
from sardinemast.consensus._events import (
    BatchProposed,
    CommandProposed,
    Event,
    HardState,
    MessageReceived,
    Output,
    ProposalAccepted,
    ProposalRejected,
    RepairRequested,
    Role,
    SnapshotTaken,
    Tick,
)
from sardinemast.consensus._following import Following
from sardinemast.consensus._log import ReplicaLog
from sardinemast.consensus._membership import Membership
from sardinemast.consensus._messages import (
    Configuration,
    LogEntry,
    Member,
    Snapshot,
)
from sardinemast.consensus._receiving import Parts, Receiving
from sardinemast.consensus._replication import Replication
from sardinemast.consensus._settings import FolderIdentity, ReplicaSettings
from sardinemast.consensus._state import ReplicaState


class Replica:
    """Decide elections, replication and commit for one replica.

    Without a folder identity the members are the voters of the settings,
    under their names, and never change.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        hard_state: HardState,
        entries: tuple[LogEntry, ...],
        random: Random,
        *,
        folder: FolderIdentity | None = None,
        snapshot: Snapshot | None = None,
    ) -> None:
        folder = folder or FolderIdentity(settings.name)
        members: tuple[Member, ...] = ()
        if folder.identity == settings.name:
            members = tuple(
                Member(name, name, is_voter=True) for name in settings.voters
            )
        log = ReplicaLog(Configuration('', members), snapshot, entries)
        self.settings = settings
        self._is_started = False
        self._state = ReplicaState(
            settings,
            folder.identity,
            hard_state,
            log,
            random,
        )
        self._commits = Commits(self._state)
        self._elections = Elections(self._state)
        self._following = Following(self._state, self._commits)
        self._replication = Replication(self._state, self._commits)
        self._bootstrap = Bootstrap(self._state, folder)
        self._membership = Membership(
            self._state,
            self._commits,
            self._replication,
        )
        self._receiving = Receiving(
            self._state,
            Parts(
                self._elections,
                self._following,
                self._replication,
                self._bootstrap,
                self._membership,
            ),
        )

    @property
    def term(self) -> int:
        """Give the current term."""
        return self._state.term

    @property
    def role(self) -> Role:
        """Give what this replica is in its term."""
        return self._state.role

    @property
    def leader(self) -> str:
        """Give the name of the leader, empty where none is known."""
        return self._state.leader

    @property
    def commit_index(self) -> int:
        """Give the index of the newest entry known to be committed."""
        return self._commits.commit_index

    @property
    def log(self) -> ReplicaLog:
        """Give the log, to be read only."""
        return self._state.log

    def step(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and give the outputs, to be carried out in order."""
        self._state.outputs = []
        if self._state.is_retired:
            return []
        if not self._is_started:
            self._start(now_s)
        self._handle(event, now_s)
        return self._state.outputs

    def get_members(self, now_s: float) -> list[tuple[Member, bool]]:
        """Give the members, at the leader with whether each is heard."""
        heard = self._membership.get_heard(now_s)
        return [
            (member, member.identity in heard)
            for member in self.log.configuration.members
        ]

    def has_lease(self, now_s: float) -> bool:
        """Tell whether no other leader can have been elected yet."""
        return now_s < self.get_lease_until_s(now_s)

    def get_lease_until_s(self, now_s: float) -> float:
        """Give until when no other leader can be elected, at the leader."""
        if self.role is not Role.leader:
            return float('-inf')
        return self._replication.get_heard_s(now_s) + self.settings.lease_s

    def _start(self, now_s: float) -> None:
        # Before the restart this replica may have promised a leader its
        # lease by answering a heartbeat, and the promise was only in memory.
        # A vote given at once would set up a second leader beside it.
        self._is_started = True
        self._state.reset_election(now_s)
        if self.term > 0:
            self._state.heard_leader_s = now_s

    @singledispatchmethod
    def _handle(self, event: Event, now_s: float) -> None:
        raise TypeError(event)

    @_handle.register
    def _handle_tick(self, event: Tick, now_s: float) -> None:
        self._bootstrap.tick(now_s)
        if self.role is Role.leader:
            self._replication.tick(now_s)
            self._membership.tick(now_s)
        elif self._bootstrap.is_active:
            if self._elections.tick(now_s):
                self._replication.start_term(now_s)

    @_handle.register
    def _handle_proposal(self, event: CommandProposed, now_s: float) -> None:
        self._propose((event,), now_s)

    @_handle.register
    def _handle_proposals(self, event: BatchProposed, now_s: float) -> None:
        self._propose(event.proposals, now_s)

    @_handle.register
    def _handle_snapshot(self, event: SnapshotTaken, now_s: float) -> None:
        self._commits.take_snapshot(event)

    @_handle.register
    def _handle_repair(self, event: RepairRequested, now_s: float) -> None:
        if self._membership.retire(event.name, now_s):
            self._state.outputs.append(
                ProposalAccepted(
                    event.proposal_id,
                    self.commit_index,
                    self.term,
                ),
            )
        else:
            self._reject(event.proposal_id)

    @_handle.register
    def _handle_received(self, event: MessageReceived, now_s: float) -> None:
        self._receiving.receive(event, now_s)

    def _propose(
        self,
        proposals: tuple[CommandProposed, ...],
        now_s: float,
    ) -> None:
        if self.role is not Role.leader:
            for rejected in proposals:
                self._reject(rejected.proposal_id)
            return
        first = self._replication.propose(
            tuple((one.payload, None) for one in proposals),
            now_s,
        )
        self._state.outputs.extend(
            ProposalAccepted(one.proposal_id, first + place, self.term)
            for place, one in enumerate(proposals)
        )
        self._replication.count()

    def _reject(self, proposal_id: int) -> None:
        self._state.outputs.append(ProposalRejected(proposal_id, self.leader))
