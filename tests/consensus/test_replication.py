"""Followers whose log must be brought back to the leader's."""

from builders.replicas import BATCH_BYTES, Cluster, is_no_leader
from sardinemast.consensus import (
    AppendEntries,
    LogEntry,
    SnapshotTaken,
)


def test_conflicting_entry_is_replaced() -> None:
    """Bring a follower back whose newest entry was never committed.

    A follower took an entry from a leader that was deposed before anybody
    else had it. The new leader must go back behind that entry. If each
    refusal only makes it send the same entries again, the follower never
    catches up, and messages between the two multiply until both are busy
    with nothing else.
    """
    cluster = Cluster(3)
    cluster.run(50)
    follower = next(filter(is_no_leader, cluster.nodes.values()))
    follower.crash()
    for _ in range(12):
        cluster.propose()
        cluster.run(1)
    place = follower.disk.entries[-1].log_index + 1
    follower.disk.append((LogEntry(place, 0, b'lost'),))
    follower.start()
    cluster.settle()
    assert len(cluster.bag) < 10


def test_far_follower_gets_the_snapshot() -> None:
    """Bring a follower back by a snapshot, in bounded parts.

    A replica was off while the leader dropped the entries that it lacks. It
    can only come back by the whole state, which is larger than a message.
    """
    cluster = Cluster(3)
    cluster.run(50)
    leader, follower, _ = sorted(cluster.nodes.values(), key=is_no_leader)
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


def test_large_entries_go_in_bounded_messages() -> None:
    """Bring a follower back with entries that fill more than a frame.

    Large files were accepted while a replica was off. Sent at once they break
    the stream each time, and the replica never comes back.
    """
    cluster = Cluster(3)
    cluster.run(50)
    follower = next(filter(is_no_leader, cluster.nodes.values()))
    follower.crash()
    for _ in range(12):
        cluster.propose(padding=bytes(BATCH_BYTES // 2 - 8))
        cluster.run(1)
    follower.start()
    largest = 0
    while follower.replica and follower.replica.commit_index < 12:
        cluster.run(1)
        messages = [parcel.message for parcel in cluster.bag]
        sizes = [
            sum(len(entry.payload) for entry in message.entries)
            for message in messages
            if isinstance(message, AppendEntries)
        ]
        largest = max([largest, *sizes])
    assert 0 < largest <= BATCH_BYTES
