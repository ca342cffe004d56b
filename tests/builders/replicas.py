"""Replicas with model disks, a bag of messages and an oracle of commands."""

from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from sardinemast.consensus import (
    AppendToLog,
    ApplyEntry,
    CommandProposed,
    Configuration,
    Event,
    FolderIdentity,
    HardState,
    LogEntry,
    Message,
    MessageReceived,
    Output,
    ProposalAccepted,
    RepairRequested,
    ReplaceFolder,
    Replica,
    ReplicaSettings,
    RestoreSnapshot,
    RetireRequest,
    Role,
    RoleChanged,
    Route,
    SaveHardState,
    SaveSnapshot,
    SendMessage,
    Snapshot,
    SnapshotTaken,
    Tick,
)

STEP_S = 0.04
BATCH_BYTES = 256
ELECTION_STEPS = 30
_SETTLE_STEPS = 20
_AGREE_STEPS = 5
_PATIENCE = 25
_SPREAD = 0.4


class Parcel(NamedTuple):
    """Hold a message on its way."""

    to: str
    sender: str
    message: Message
    route: Route


class Disk:
    """Hold what a replica has synced."""

    def __init__(self, folder: FolderIdentity) -> None:
        self.folder = folder
        self.hard_state = HardState()
        self.snapshot: Snapshot | None = None
        self.entries: list[LogEntry] = []

    @property
    def configuration(self) -> Configuration:
        """Give the newest configuration."""
        found = Configuration('', ())
        if self.snapshot:
            found = self.snapshot.configuration
        for entry in self.entries:
            found = entry.configuration or found
        return found

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Cut from the first entry's index on, and append."""
        if entries:
            base = self.snapshot.last_index if self.snapshot else 0
            del self.entries[entries[0].log_index - base - 1 :]
            self.entries.extend(entries)


class _NarrowRandom(Random):
    """Bring the replicas' elections close together."""

    def random(self) -> float:
        return _SPREAD * super().random()


class Node:
    """Run one replica on a clock with a rate of its own."""

    def __init__(self, name: str, names: tuple[str, ...], rate: float) -> None:
        self.settings = ReplicaSettings(
            name,
            names,
            batch_entries=4,
            batch_bytes=BATCH_BYTES,
            chunk_bytes=8,
            retained_entries=3,
        )
        self.rate = rate
        self.replica: Replica | None = None
        self.frozen_until_s: float = 0
        self.kill_in: int | None = None
        self.starts = 0
        self.folders = 0
        self.applied_index = 0
        self.applied_term = 0
        self.image = b''
        self.proposed: dict[tuple[int, int], bytes] = {}
        self.disk = Disk(self._make_folder())

    @property
    def term(self) -> int:
        """Give the synced term."""
        return self.disk.hard_state.term

    @property
    def name(self) -> str:
        """Give the name of the process."""
        return self.settings.name

    def get_local_s(self, true_s: float) -> float:
        """Give the time on this replica's clock."""
        return 1000 * self.rate + true_s * self.rate

    def start(self) -> None:
        """Start from what the disk holds."""
        self.starts += 1
        self.kill_in = None
        self.frozen_until_s = 0
        self.replica = Replica(
            self.settings,
            self.disk.hard_state,
            tuple(self.disk.entries),
            _NarrowRandom(f'{self.name}-{self.starts}'),
            folder=self.disk.folder,
            snapshot=self.disk.snapshot,
        )
        self.restore(self.disk.snapshot)

    def crash(self) -> None:
        """Lose all that is only in memory."""
        self.replica = None
        self.proposed.clear()

    def lose_folder(self, *, may_found: bool) -> None:
        """Start again with an empty folder."""
        self.crash()
        self.disk = Disk(self._make_folder()._replace(may_found=may_found))
        self.start()

    def put_backup_back(self) -> None:
        """Start with an old copy, which the seal tells from the original."""
        self.lose_folder(may_found=False)

    def restore(self, snapshot: Snapshot | None) -> None:
        """Take the state from a snapshot."""
        self.applied_index = snapshot.last_index if snapshot else 0
        self.applied_term = snapshot.last_term if snapshot else 0
        self.image = snapshot.image if snapshot else b''

    def apply(self, entry: LogEntry) -> None:
        """Apply an entry to the state."""
        assert entry.log_index == self.applied_index + 1
        self.applied_index = entry.log_index
        self.applied_term = entry.term
        if entry.payload:
            self.image += b',%s' % entry.payload

    def _make_folder(self) -> FolderIdentity:
        self.folders += 1
        return FolderIdentity(f'{self.name}#{self.folders}')


def is_no_leader(node: Node) -> bool:
    """Tell whether a node takes itself for no leader, as a sort key."""
    return node.replica is None or node.replica.role is not Role.leader


class Cluster:
    """Hold replicas, messages on their way and what was acknowledged."""

    def __init__(self, count: int, rates: tuple[float, ...] = (1.0,)) -> None:
        names = tuple(f'control-{number}' for number in range(1, count + 1))
        self.nodes = {
            name: Node(name, names, rates[position % len(rates)])
            for position, name in enumerate(names)
        }
        self.names = names
        self.true_s: float = 0
        self.bag: list[Parcel] = []
        self.cuts: set[tuple[str, str]] = set()
        self.committed: dict[int, LogEntry] = {}
        self.images: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        self.acknowledged_index = 0
        self._proposal_count = 0
        for node in self.nodes.values():
            node.start()

    def open(self, voters_max: int) -> None:
        """Let replicas of any name join, up to so many voters."""
        for node in self.nodes.values():
            node.settings = node.settings._replace(voters_max=voters_max)
            node.start()

    def add(self, name: str, voters_max: int) -> Node:
        """Start a replica that only knows the founders."""
        node = Node(name, self.names, 1)
        node.settings = node.settings._replace(voters_max=voters_max)
        node.disk = Disk(node.disk.folder._replace(may_found=False))
        self.nodes[name] = node
        node.start()
        return node

    def get_voters(self) -> set[str]:
        """Give the names of the voters, as the leader has them."""
        for node in self.nodes.values():
            if node.replica and node.replica.role is Role.leader:
                members = node.disk.configuration.members
                return {one.name for one in members if one.is_voter}
        return set()

    def get_awake(self) -> Iterator[Node]:
        """Give the nodes that run and are not frozen."""
        for node in self.nodes.values():
            if node.replica and node.frozen_until_s <= self.true_s:
                yield node

    def feed(self, node: Node, event: Event) -> None:
        """Feed an event to a node and carry out what it says."""
        if node.replica is None:
            return
        outputs = node.replica.step(event, node.get_local_s(self.true_s))
        for output in outputs:
            if node.kill_in == 0:
                self._tear(node, output)
                node.crash()
                break
            if node.kill_in is not None:
                node.kill_in -= 1
            self._execute(node, output)
        self.check_leases()

    def tick(self) -> None:
        """Let all nodes notice that time has passed."""
        self.true_s += STEP_S
        for node in tuple(self.get_awake()):
            self.feed(node, Tick())

    def deliver(self, position: int) -> None:
        """Deliver one message, unless its receiver sleeps."""
        parcel = self.bag[position]
        node = self.nodes[parcel.to]
        if node.frozen_until_s > self.true_s:
            return
        del self.bag[position]
        self.feed(
            node,
            MessageReceived(parcel.sender, parcel.message, parcel.route),
        )

    def deliver_all(self) -> None:
        """Deliver what is in the bag now, in order."""
        parcels = self.bag
        self.bag = []
        for parcel in parcels:
            self.bag.append(parcel)
            self.deliver(len(self.bag) - 1)

    def run(self, steps: int) -> None:
        """Let time pass with all messages delivered at once."""
        for _ in range(steps):
            self.tick()
            self.deliver_all()

    def propose(self, padding: bytes = b'') -> None:
        """Propose a command at each node that takes itself for the leader."""
        self._proposal_count += 1
        payload = b'%d%s' % (self._proposal_count, padding)
        for node in tuple(self.get_awake()):
            self.feed(node, CommandProposed(self._proposal_count, payload))

    def snapshot(self, node: Node) -> None:
        """Put a snapshot in place of what the node has applied."""
        self.feed(node, SnapshotTaken(node.applied_index, node.image))

    def ask_repair(self, name: str) -> None:
        """Have an operator ask for a replica's folder to be replaced."""
        for node in tuple(self.get_awake()):
            self.feed(node, RepairRequested(0, name))

    def may_lose(self, node: Node) -> bool:
        """Tell whether a majority of each configuration keeps its folder."""
        if not self.acknowledged_index:
            return False
        retiring = {
            parcel.route.recipient
            for parcel in self.bag
            if isinstance(parcel.message, RetireRequest)
        }
        kept = {
            one.disk.folder.identity
            for one in self.nodes.values()
            if one is not node
        } - retiring
        for one in self.nodes.values():
            members = one.disk.configuration.members
            voters = {member.identity for member in members if member.is_voter}
            if 2 * len(voters & kept) <= len(voters):
                return False
        return True

    def check_leases(self) -> None:
        """Check that one leader at most serves, and from the whole state."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.replica and node.replica.role is Role.leader
        ]
        serving = [node for node in leaders if self._has_lease(node)]
        for node in serving:
            for other in leaders:
                assert other.term <= node.term, 'A leader beside a lease'
            if self._is_ready(node):
                index = node.applied_index
                assert index >= self.acknowledged_index, 'Stale lease read'

    def settle(self) -> None:
        """Mend all and check that the replicas agree and serve again."""
        self.cuts.clear()
        for node in self.nodes.values():
            node.frozen_until_s = 0
            node.kill_in = None
            if node.replica is None:
                node.start()
        for _ in range(_PATIENCE):
            self.run(_SETTLE_STEPS)
            if self._is_whole():
                return
        raise AssertionError(f'Not whole again: {self.describe()}')

    def describe(self) -> list[str]:
        """Give a line for each node."""
        return [
            f'{node.name} {node.replica and node.replica.role}'
            f' {node.applied_index} {node.disk.configuration}'
            for node in self.nodes.values()
        ]

    def _is_whole(self) -> bool:
        self.propose()
        self.run(_AGREE_STEPS)
        last = max(self.committed, default=0)
        identities = {node.disk.folder.identity for node in self.nodes.values()}
        for node in self.nodes.values():
            members = node.disk.configuration.members
            voters = {member.identity for member in members if member.is_voter}
            if node.applied_index != last or voters != identities:
                return False
        return self.acknowledged_index == last

    def _has_lease(self, node: Node) -> bool:
        local_s = node.get_local_s(self.true_s)
        return node.replica is not None and node.replica.has_lease(local_s)

    def _is_ready(self, node: Node) -> bool:
        return bool(node.replica and node.applied_term == node.replica.term)

    def _tear(self, node: Node, output: Output) -> None:
        # The write was under way: a prefix of it may have reached the disk.
        if isinstance(output, AppendToLog):
            kept = len(output.entries) * (node.starts % 2) // 2
            node.disk.append(output.entries[:kept])

    def _execute(self, node: Node, output: Output) -> None:
        if isinstance(output, SendMessage):
            if (node.name, output.to) not in self.cuts:
                self.bag.append(
                    Parcel(output.to, node.name, output.message, output.route)
                )
        elif isinstance(output, SaveHardState):
            node.disk.hard_state = output.hard_state
        elif isinstance(output, AppendToLog):
            node.disk.append(output.entries)
        elif isinstance(output, RoleChanged):
            self._note_role(node, output)
        elif isinstance(output, SaveSnapshot):
            node.disk.snapshot = output.snapshot
            node.disk.entries = list(output.entries)
        elif isinstance(output, RestoreSnapshot):
            node.restore(output.snapshot)
            self._check_image(node)
        elif isinstance(output, ReplaceFolder):
            node.lose_folder(may_found=False)
        elif isinstance(output, ApplyEntry):
            self._apply(node, output.entry)
        elif isinstance(output, ProposalAccepted):
            place = (output.log_index, output.term)
            node.proposed[place] = b'%d' % output.proposal_id

    def _note_role(self, node: Node, changed: RoleChanged) -> None:
        if changed.role is Role.leader:
            known = self.leaders.setdefault(changed.term, node.name)
            assert known == node.name, 'Two leaders in a term'

    def _apply(self, node: Node, entry: LogEntry) -> None:
        known = self.committed.setdefault(entry.log_index, entry)
        assert known == entry, f'Replaced: {known} by {entry}'
        node.apply(entry)
        self._check_image(node)
        payload = node.proposed.pop((entry.log_index, entry.term), None)
        if payload is not None:
            assert entry.payload.startswith(payload)
            self.acknowledged_index = max(
                self.acknowledged_index,
                entry.log_index,
            )

    def _check_image(self, node: Node) -> None:
        known = self.images.setdefault(node.applied_index, node.image)
        assert known == node.image
