"""Test that followers catch up with the leader's log."""

from builders.replicas import BATCH_BYTES, Cluster, is_not_leader
from sardinemast.consensus import (
    AppendEntries,
    LogEntry,
    SnapshotTaken,
)


def test_conflicting_entry_is_replaced() -> None:
    """Replace an uncommitted entry of a deposed leader at a follower.

    A leader that answered each rejection with the same entries would never
    reach the matching index, and messages would multiply.
    """
    cluster = Cluster(3)
    cluster.run(50)
    follower = next(filter(is_not_leader, cluster.nodes.values()))
    follower.crash()
    for _ in range(12):
        cluster.propose()
        cluster.run(1)
    next_index = follower.disk.entries[-1].log_index + 1
    follower.disk.append((LogEntry(next_index, 0, b'lost'),))
    follower.start()
    cluster.settle()
    assert len(cluster.in_flight) < 10


def test_lagging_follower_gets_the_snapshot() -> None:
    """Send a snapshot in chunks to a follower whose entries are dropped.

    The state may be larger than a single message.
    """
    cluster = Cluster(3)
    cluster.run(50)
    leader, follower, _ = sorted(cluster.nodes.values(), key=is_not_leader)
    follower.crash()
    for _ in range(12):
        cluster.propose()
        cluster.run(1)
    taken = SnapshotTaken(leader.applied_index, leader.image)
    cluster.feed(leader, taken)
    follower.start()
    cluster.settle()
    assert follower.disk.snapshot == leader.disk.snapshot
    assert follower.image == leader.image


def test_large_entries_are_sent_in_bounded_messages() -> None:
    """Split entries that exceed the size of a message.

    A frame that is too large breaks the stream each time, and the follower
    would never catch up.
    """
    cluster = Cluster(3)
    cluster.run(50)
    follower = next(filter(is_not_leader, cluster.nodes.values()))
    follower.crash()
    for _ in range(12):
        cluster.propose(padding=bytes(BATCH_BYTES // 2 - 8))
        cluster.run(1)
    follower.start()
    largest = 0
    while follower.replica and follower.replica.commit_index < 12:
        cluster.run(1)
        messages = [envelope.message for envelope in cluster.in_flight]
        sizes = [
            sum(len(entry.payload) for entry in message.entries)
            for message in messages
            if isinstance(message, AppendEntries)
        ]
        largest = max([largest, *sizes])
    assert 0 < largest <= BATCH_BYTES
