"""Fuzz replicas with crashes, lost messages, partitions and freezes."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from builders.replicas import ELECTION_STEPS, Cluster, Node, is_not_leader

pytestmark = pytest.mark.fuzz
_NODES = st.integers(0, 4)
_POSITIONS = st.integers(0, 40)
_JOINING_STEPS = 2 * ELECTION_STEPS


class Elections(RuleBasedStateMachine):
    """Run three replicas with network and process failures.

    The rates of their clocks differ by up to a tenth.
    """

    count = 3
    rates: tuple[float, ...] = (1.0, 1.1, 1.05)

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster(self.count, self.rates)

    @initialize(steps=st.sampled_from((ELECTION_STEPS, 0, 5)))
    def bootstrap(self, steps: int) -> None:
        """Bootstrap the cluster, completely or partly."""
        self.cluster.run(steps)
        self.cluster.propose()

    def pick(self, number: int) -> Node:
        """Return the leader for 0, and the other nodes for other numbers."""
        nodes = sorted(self.cluster.nodes.values(), key=is_not_leader)
        return nodes[number % self.count]

    @rule(steps=st.integers(1, 20))
    def run_without_faults(self, steps: int) -> None:
        """Let time pass and deliver all messages."""
        self.cluster.run(steps)

    @rule(
        sender=_NODES,
        distance=st.integers(1, 2),
        is_one_way=st.booleans(),
    )
    def cut(self, sender: int, distance: int, is_one_way: bool) -> None:
        """Drop messages between two replicas, in one or both directions."""
        pair = (self.pick(sender).name, self.pick(sender + distance).name)
        self.cluster.cut_links.add(pair)
        if not is_one_way:
            self.cluster.cut_links.add((pair[1], pair[0]))

    @rule(number=_NODES)
    def isolate(self, number: int) -> None:
        """Drop all messages between one replica and the others."""
        name = self.pick(number).name
        for other in self.cluster.nodes:
            self.cluster.cut_links.update(((name, other), (other, name)))

    @rule(number=_NODES)
    def reboot(self, number: int) -> None:
        """Restart a replica and cut it off from the leader."""
        node = self.pick(number)
        self.cluster.cut_links.add((self.pick(0).name, node.name))
        node.crash()
        node.start()

    @rule()
    def heal(self) -> None:
        """Restore all connections."""
        self.cluster.cut_links.clear()

    def teardown(self) -> None:
        """Check that the replicas serve again after all faults end."""
        self.cluster.settle()


class Folders(Elections):
    """Run three replicas that also lose their folders."""

    @rule()
    def propose(self) -> None:
        """Propose a command."""
        self.cluster.propose()

    @rule(number=_NODES, is_copy=st.booleans())
    def lose_folder(self, number: int, is_copy: bool) -> None:
        """Delete a data folder, or put an old copy in its place."""
        node = self.pick(number)
        if not self.cluster.can_lose_folders(node):
            return
        if is_copy:
            node.restore_backup()
        else:
            node.lose_folder(may_found=True)

    @rule(number=_NODES)
    def request_repair(self, number: int) -> None:
        """Request the repair of a replica."""
        node = self.pick(number)
        if self.cluster.can_lose_folders(node):
            self.cluster.request_repair(node.name)

    @rule(number=_NODES, steps=st.integers(1, 30))
    def freeze(self, number: int, steps: int) -> None:
        """Freeze a process, possibly for longer than a lease."""
        node = self.pick(number)
        node.frozen_until_s = self.cluster.true_s + steps * 0.04

    @rule(number=_NODES)
    def restart(self, number: int) -> None:
        """Crash a process if it runs, and start it."""
        node = self.pick(number)
        node.crash()
        node.start()


class ThreeReplicas(Folders):
    """Run three replicas with all faults and reordered messages."""

    @rule()
    def tick(self) -> None:
        """Let time pass without delivering messages."""
        self.cluster.tick()

    @precondition(lambda machine: machine.cluster.in_flight)
    @rule(position=_POSITIONS)
    def deliver(self, position: int) -> None:
        """Deliver a message out of order."""
        self.cluster.deliver(position % len(self.cluster.in_flight))

    @precondition(lambda machine: machine.cluster.in_flight)
    @rule(position=_POSITIONS)
    def duplicate(self, position: int) -> None:
        """Deliver a message and keep a copy to deliver later."""
        in_flight = self.cluster.in_flight
        in_flight.append(in_flight[position % len(in_flight)])
        self.cluster.deliver(position % len(in_flight))

    @precondition(lambda machine: machine.cluster.in_flight)
    @rule(position=_POSITIONS)
    def drop(self, position: int) -> None:
        """Drop a message."""
        del self.cluster.in_flight[position % len(self.cluster.in_flight)]

    @rule(number=_NODES, outputs=st.integers(0, 12))
    def kill(self, number: int, outputs: int) -> None:
        """Kill a process between two of its next outputs."""
        node = self.pick(number)
        node.outputs_until_crash = outputs

    @rule(number=_NODES)
    def take_snapshot(self, number: int) -> None:
        """Take a snapshot of what a replica has applied."""
        self.cluster.snapshot(self.pick(number))

    @rule(
        first=_NODES,
        distance=st.integers(1, 4),
        outputs=st.lists(st.integers(0, 8), max_size=5),
    )
    def lose_power(self, first: int, distance: int, outputs: list[int]) -> None:
        """Cut the power of all replicas while as many as allowed lose disks."""
        lost_count = (self.count - 1) // 2
        numbers = (first, first + distance)[:lost_count]
        lost = tuple(self.pick(number) for number in numbers)
        if self.cluster.can_lose_folders(*lost):
            self.cluster.lose_power(lost, tuple(outputs))


class FiveReplicas(ThreeReplicas):
    """Run five replicas."""

    count = 5


class JoiningReplicas(FiveReplicas):
    """Run three founders and two replicas that join, and replace some."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster(3, self.rates)
        self.cluster.open(self.count)
        for number in (4, 5):
            self.cluster.add(f'control-{number}', self.count)

    @initialize(steps=st.sampled_from((_JOINING_STEPS, ELECTION_STEPS)))
    def bootstrap(self, steps: int) -> None:
        """Bootstrap the founders, and let the others join or begin to."""
        self.cluster.run(steps)
        self.cluster.propose()

    @rule(number=_NODES)
    def replace(self, number: int) -> None:
        """Remove a replica for good, and add an empty one with a new name."""
        node = self.pick(number)
        if self.cluster.can_lose_folders(node):
            self.cluster.replace(node, self.count)


# A Hypothesis profile may ask for more examples, as in a soak test.
_SETTINGS = settings(
    max_examples=max(2000, settings().max_examples),
    stateful_step_count=30,
)
TestElections = Elections.TestCase
TestElections.settings = _SETTINGS
TestFolders = Folders.TestCase
TestFolders.settings = _SETTINGS
TestThreeReplicas = ThreeReplicas.TestCase
TestThreeReplicas.settings = _SETTINGS
TestFiveReplicas = FiveReplicas.TestCase
TestFiveReplicas.settings = _SETTINGS
TestJoiningReplicas = JoiningReplicas.TestCase
TestJoiningReplicas.settings = settings(
    max_examples=max(300, settings().max_examples),
    stateful_step_count=30,
)
