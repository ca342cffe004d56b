"""Simulated cluster of replicas that checks the consensus invariants."""

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
_SETTLE_ROUNDS = 25
_TIMEOUT_SPREAD = 0.4
_SEED_COUNT = 3


class Envelope(NamedTuple):
    """A message in flight."""

    to: str
    sender: str
    message: Message
    route: Route


class Disk:
    """The synced state of a replica."""

    def __init__(self, folder: FolderIdentity) -> None:
        self.folder = folder
        self.hard_state = HardState()
        self.snapshot: Snapshot | None = None
        self.entries: list[LogEntry] = []

    @property
    def configuration(self) -> Configuration:
        """Return the latest configuration."""
        found = Configuration('', ())
        if self.snapshot:
            found = self.snapshot.configuration
        for entry in self.entries:
            found = entry.configuration or found
        return found

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Truncate the log at the index of the first entry, then append."""
        if entries:
            base = self.snapshot.last_index if self.snapshot else 0
            del self.entries[entries[0].log_index - base - 1 :]
            self.entries.extend(entries)


class _NarrowRandom(Random):
    """Narrow the random election timeouts, so that elections collide."""

    def random(self) -> float:
        return _TIMEOUT_SPREAD * super().random()


class Node:
    """Simulate a replica process with its disk and its clock rate."""

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
        self.outputs_until_crash: int | None = None
        self.starts = 0
        self.folders = 0
        self.applied_index = 0
        self.applied_term = 0
        self.image = b''
        self.proposed: dict[tuple[int, int], bytes] = {}
        self.disk = Disk(self._make_folder())

    @property
    def term(self) -> int:
        """Return the synced term."""
        return self.disk.hard_state.term

    @property
    def name(self) -> str:
        """Return the name of the process."""
        return self.settings.name

    def get_local_s(self, true_s: float) -> float:
        """Return the time on the replica's clock."""
        return 1000 * self.rate + true_s * self.rate

    def start(self) -> None:
        """Start the replica from its disk."""
        self.starts += 1
        self.outputs_until_crash = None
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
        """Crash, and lose the state in memory."""
        self.replica = None
        self.proposed.clear()

    def lose_folder(self, *, may_found: bool) -> None:
        """Crash, and restart with an empty data folder."""
        self.crash()
        self.disk = Disk(self._make_folder()._replace(may_found=may_found))
        self.start()

    def restore_backup(self) -> None:
        """Restart as after a restored backup, whose folder is replaced."""
        self.lose_folder(may_found=False)

    def restore(self, snapshot: Snapshot | None) -> None:
        """Restore the applied state from a snapshot."""
        self.applied_index = snapshot.last_index if snapshot else 0
        self.applied_term = snapshot.last_term if snapshot else 0
        self.image = snapshot.image if snapshot else b''

    def apply(self, entry: LogEntry) -> None:
        """Apply a log entry to the state."""
        assert entry.log_index == self.applied_index + 1
        self.applied_index = entry.log_index
        self.applied_term = entry.term
        if entry.payload:
            self.image += b',%s' % entry.payload

    def _make_folder(self) -> FolderIdentity:
        self.folders += 1
        return FolderIdentity(f'{self.name}#{self.folders}')


def is_not_leader(node: Node) -> bool:
    """Check whether a node does not consider itself leader (a sort key)."""
    return node.replica is None or node.replica.role is not Role.leader


class Cluster:
    """Simulate replicas and their network, and check safety invariants."""

    def __init__(self, count: int, rates: tuple[float, ...] = (1.0,)) -> None:
        names = tuple(f'control-{number}' for number in range(1, count + 1))
        self.nodes = {
            name: Node(name, names, rates[position % len(rates)])
            for position, name in enumerate(names)
        }
        self.names = names
        self.true_s: float = 0
        self.in_flight: list[Envelope] = []
        self.cut_links: set[tuple[str, str]] = set()
        self.committed: dict[int, LogEntry] = {}
        self.images: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        self.acknowledged_index = 0
        self._proposal_count = 0
        self._replacement_count = 0
        self.preferred_loss: Node | None = None
        for node in self.nodes.values():
            node.start()

    def open(self, voters_max: int) -> None:
        """Restart all nodes with a limit that lets new voters join."""
        for node in self.nodes.values():
            node.settings = node.settings._replace(voters_max=voters_max)
            node.start()

    def add(self, name: str, voters_max: int) -> Node:
        """Start a replica that knows only the names in the settings."""
        node = Node(name, self.names, 1)
        node.settings = node.settings._replace(voters_max=voters_max)
        node.disk = Disk(node.disk.folder._replace(may_found=False))
        self.nodes[name] = node
        node.start()
        return node

    def replace(self, node: Node, voters_max: int) -> Node:
        """Remove a node for good, and start another one with a new name.

        Settings name three nodes that run; a node reads them at its start.
        """
        del self.nodes[node.name]
        self.in_flight = [
            envelope for envelope in self.in_flight if envelope.to in self.nodes
        ]
        self.names = tuple(self.nodes)[:_SEED_COUNT]
        for kept in self.nodes.values():
            kept.settings = kept.settings._replace(voters=self.names)
        self._replacement_count += 1
        return self.add(f'replacement-{self._replacement_count}', voters_max)

    def lose_power(
        self, lost: tuple[Node, ...], outputs: tuple[int, ...] = ()
    ) -> None:
        """Crash all nodes at once, and empty the disks of some.

        ``outputs`` holds for each node how many further outputs it executes,
        so that the power is lost in the middle of its next writes.
        """
        nodes = tuple(self.nodes.values())
        for number, node in enumerate(nodes):
            if outputs:
                node.outputs_until_crash = outputs[number % len(outputs)]
        if outputs:
            self.run(1)
        for crashed in nodes:
            crashed.crash()
        for restarted in nodes:
            if restarted in lost:
                restarted.lose_folder(may_found=False)
            else:
                restarted.start()

    def get_voters(self) -> set[str]:
        """Return the voters in the leader's configuration."""
        for node in self.nodes.values():
            if node.replica and node.replica.role is Role.leader:
                members = node.disk.configuration.members
                return {member.name for member in members if member.is_voter}
        return set()

    def get_running_nodes(self) -> Iterator[Node]:
        """Yield the nodes that run and are not frozen."""
        for node in self.nodes.values():
            if node.replica and node.frozen_until_s <= self.true_s:
                yield node

    def feed(self, node: Node, event: Event) -> None:
        """Pass an event to a node and execute its outputs."""
        if node.replica is None:
            return
        outputs = node.replica.step(event, node.get_local_s(self.true_s))
        for output in outputs:
            if node.outputs_until_crash == 0:
                self._write_partially(node, output)
                node.crash()
                break
            if node.outputs_until_crash is not None:
                node.outputs_until_crash -= 1
            self._execute(node, output)
        self.check_leases()

    def tick(self) -> None:
        """Advance the time by one step and tick all running nodes."""
        self.true_s += STEP_S
        for node in tuple(self.get_running_nodes()):
            self.feed(node, Tick())

    def deliver(self, position: int) -> None:
        """Deliver one message, unless its recipient is frozen."""
        envelope = self.in_flight[position]
        node = self.nodes[envelope.to]
        if node.frozen_until_s > self.true_s:
            return
        del self.in_flight[position]
        self.feed(
            node,
            MessageReceived(envelope.sender, envelope.message, envelope.route),
        )

    def deliver_all(self) -> None:
        """Deliver the messages now in flight, in order."""
        envelopes = self.in_flight
        self.in_flight = []
        for envelope in envelopes:
            self.in_flight.append(envelope)
            self.deliver(len(self.in_flight) - 1)

    def run(self, steps: int) -> None:
        """Run steps in which each message is delivered at once."""
        for _ in range(steps):
            self.tick()
            self.deliver_all()

    def propose(self, padding: bytes = b'') -> None:
        """Propose a command at each running node."""
        self._proposal_count += 1
        payload = b'%d%s' % (self._proposal_count, padding)
        for node in tuple(self.get_running_nodes()):
            self.feed(node, CommandProposed(self._proposal_count, payload))

    def snapshot(self, node: Node) -> None:
        """Compact the applied log of a node into a snapshot."""
        self.feed(node, SnapshotTaken(node.applied_index, node.image))

    def request_repair(self, name: str) -> None:
        """Request the replacement of a replica's folder at each node."""
        for node in tuple(self.get_running_nodes()):
            self.feed(node, RepairRequested(0, name))

    def can_lose_folders(self, *lost: Node) -> bool:
        """Check that each configuration keeps a majority without the nodes."""
        if not self.acknowledged_index:
            return False
        retiring = {
            envelope.route.recipient
            for envelope in self.in_flight
            if isinstance(envelope.message, RetireRequest)
        }
        kept = {
            other.disk.folder.identity
            for other in self.nodes.values()
            if other not in lost
        } - retiring
        for other in self.nodes.values():
            members = other.disk.configuration.members
            voters = {member.identity for member in members if member.is_voter}
            # An empty folder has no configuration yet.
            if voters and 2 * len(voters & kept) <= len(voters):
                return False
        return True

    def check_leases(self) -> None:
        """Check that a valid lease excludes newer leaders and stale reads."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.replica and node.replica.role is Role.leader
        ]
        serving = [node for node in leaders if self._has_lease(node)]
        for node in serving:
            for other in leaders:
                assert other.term <= node.term, (
                    'Newer leader while a lease is valid'
                )
            if self._is_ready(node):
                index = node.applied_index
                assert index >= self.acknowledged_index, (
                    'Lease read misses acknowledged entries'
                )

    def settle(self) -> None:
        """Remove all faults and check that the replicas converge."""
        self.cut_links.clear()
        for node in self.nodes.values():
            node.frozen_until_s = 0
            node.outputs_until_crash = None
            if node.replica is None:
                node.start()
        for _ in range(_SETTLE_ROUNDS):
            self.run(_SETTLE_STEPS)
            if self._has_converged():
                return
        raise AssertionError(f'No convergence: {self.describe()}')

    def describe(self) -> list[str]:
        """Return one line of state for each node."""
        return [
            f'{node.name} {node.replica and node.replica.role}'
            f' {node.applied_index} {node.disk.configuration}'
            for node in self.nodes.values()
        ]

    def _has_converged(self) -> bool:
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

    def _write_partially(self, node: Node, output: Output) -> None:
        # A write that is not synced may be lost, torn or kept.
        halves = (node.starts + len(node.disk.entries)) % 3
        if isinstance(output, AppendToLog):
            kept = len(output.entries) * halves // 2
            node.disk.append(output.entries[:kept])
        elif isinstance(output, SaveHardState) and halves == 2:
            node.disk.hard_state = output.hard_state
        elif isinstance(output, SaveSnapshot) and halves == 2:
            node.disk.snapshot = output.snapshot
            node.disk.entries = list(output.entries)

    def _execute(self, node: Node, output: Output) -> None:
        if isinstance(output, SendMessage):
            is_cut = (node.name, output.to) in self.cut_links
            if output.to in self.nodes and not is_cut:
                self.in_flight.append(
                    Envelope(output.to, node.name, output.message, output.route)
                )
        elif isinstance(output, SaveHardState):
            node.disk.hard_state = output.hard_state
        elif isinstance(output, AppendToLog):
            node.disk.append(output.entries)
        elif isinstance(output, RoleChanged):
            self._record_role(node, output)
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

    def _record_role(self, node: Node, changed: RoleChanged) -> None:
        if changed.role is Role.leader:
            known = self.leaders.setdefault(changed.term, node.name)
            assert known == node.name, 'Two leaders in one term'

    def _apply(self, node: Node, entry: LogEntry) -> None:
        known = self.committed.setdefault(entry.log_index, entry)
        assert known == entry, f'Committed {known} replaced by {entry}'
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
