"""Implement one replica of the log as a state machine without I/O.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote and a leader
lease that counts from the time at which a heartbeat was sent.
"""

from functools import singledispatchmethod
from random import Random

from sardinemast.consensus._bootstrap import Bootstrap
from sardinemast.consensus._commit_tracker import CommitTracker
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
from sardinemast.consensus._follower import Follower
from sardinemast.consensus._log import ReplicaLog
from sardinemast.consensus._message_router import Components, MessageRouter
from sardinemast.consensus._messages import (
    Configuration,
    LogEntry,
    Member,
    Snapshot,
)
from sardinemast.consensus._reconfiguration import Reconfiguration
from sardinemast.consensus._replication import Replication
from sardinemast.consensus._settings import FolderIdentity, ReplicaSettings
from sardinemast.consensus._state import ReplicaState


class Replica:
    """Turn events into outputs for one replica.

    Without a folder identity the members are the voters of the settings,
    identified by their names, and never change.
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
        self._commits = CommitTracker(self._state)
        self._elections = Elections(self._state)
        self._follower = Follower(self._state, self._commits)
        self._replication = Replication(self._state, self._commits)
        self._bootstrap = Bootstrap(self._state, folder)
        self._reconfiguration = Reconfiguration(
            self._state,
            self._commits,
            self._replication,
        )
        self._message_router = MessageRouter(
            self._state,
            Components(
                self._elections,
                self._follower,
                self._replication,
                self._bootstrap,
                self._reconfiguration,
            ),
        )

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._state.term

    @property
    def role(self) -> Role:
        """Return the role of this replica in the current term."""
        return self._state.role

    @property
    def leader(self) -> str:
        """Return the name of the leader, empty if none is known."""
        return self._state.leader

    @property
    def commit_index(self) -> int:
        """Return the index of the newest entry known to be committed."""
        return self._commits.commit_index

    @property
    def log(self) -> ReplicaLog:
        """Return the log; callers must not change it."""
        return self._state.log

    def step(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event; return outputs, to be carried out in order."""
        self._state.outputs = []
        if self._state.is_retired:
            return []
        if not self._is_started:
            self._start(now_s)
        self._handle(event, now_s)
        return self._state.outputs

    def get_members(self, now_s: float) -> list[tuple[Member, bool]]:
        """Return each member and, at the leader, whether it is reachable."""
        reachable = self._reconfiguration.get_reachable(now_s)
        return [
            (member, member.identity in reachable)
            for member in self.log.configuration.members
        ]

    def has_lease(self, now_s: float) -> bool:
        """Check whether this replica leads and its lease is valid."""
        return now_s < self.get_lease_until_s(now_s)

    def get_lease_until_s(self, now_s: float) -> float:
        """Return when the leader lease ends, minus infinity if not leading."""
        if self.role is not Role.leader:
            return float('-inf')
        return (
            self._replication.get_majority_contact_s(now_s)
            + self.settings.lease_s
        )

    def _start(self, now_s: float) -> None:
        # Before the restart this replica may have extended a leader's lease
        # by answering a heartbeat, which is not stored. Granting a vote at
        # once could elect a second leader while that lease is valid.
        self._is_started = True
        self._state.reset_election_timer(now_s)
        if self.term > 0:
            self._state.last_leader_contact_s = now_s

    @singledispatchmethod
    def _handle(self, event: Event, now_s: float) -> None:
        raise TypeError(event)

    @_handle.register
    def _handle_tick(self, event: Tick, now_s: float) -> None:
        self._bootstrap.tick(now_s)
        if self.role is Role.leader:
            self._replication.tick(now_s)
            self._reconfiguration.tick(now_s)
        elif self._bootstrap.is_active:
            if self._elections.tick(now_s):
                self._replication.start_term(now_s)

    @_handle.register
    def _handle_proposal(self, event: CommandProposed, now_s: float) -> None:
        self._propose((event,), now_s)

    @_handle.register
    def _handle_batch(self, event: BatchProposed, now_s: float) -> None:
        self._propose(event.proposals, now_s)

    @_handle.register
    def _handle_snapshot(self, event: SnapshotTaken, now_s: float) -> None:
        self._commits.replace_by_snapshot(event)

    @_handle.register
    def _handle_repair(self, event: RepairRequested, now_s: float) -> None:
        if self._reconfiguration.request_retirement(event.name, now_s):
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
        self._message_router.receive(event, now_s)

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
            tuple((proposal.payload, None) for proposal in proposals),
            now_s,
        )
        self._state.outputs.extend(
            ProposalAccepted(proposal.proposal_id, first + offset, self.term)
            for offset, proposal in enumerate(proposals)
        )
        self._replication.update_commit_index()

    def _reject(self, proposal_id: int) -> None:
        self._state.outputs.append(ProposalRejected(proposal_id, self.leader))
