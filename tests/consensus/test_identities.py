"""Data folders that are lost, replaced, and come back."""

import pytest

from builders.replicas import Cluster, is_no_leader
from sardinemast.consensus import (
    MessageReceived,
    ProposalRejected,
    RepairRequested,
    Route,
    SendMessage,
    VoteReply,
    VoteRequest,
)


def test_second_loss_after_a_repair_forgets_nothing() -> None:
    """Keep what was acknowledged when two folders are lost in turn.

    A replica is repaired, and right after that another one loses its disk. If
    the first had counted before it held everything, a command that an operator
    was told is accepted would now be gone.
    """
    cluster = Cluster(3)
    cluster.run(50)
    for _ in range(3):
        cluster.propose()
        cluster.run(3)
    known = dict(cluster.committed)
    for node in sorted(cluster.nodes.values(), key=is_no_leader):
        node.lose_folder(may_found=True)
        cluster.settle()
    assert known.items() <= cluster.committed.items()


def test_folder_that_returns_retires() -> None:
    """Have a folder that was replaced join anew when it comes back.

    An operator moves a folder away, lets the replica be repaired, and then
    moves the old one back. It still names itself a voter, and must not act as
    one.
    """
    cluster = Cluster(3)
    cluster.run(50)
    node = next(filter(is_no_leader, cluster.nodes.values()))
    moved = node.disk
    node.lose_folder(may_found=True)
    cluster.settle()
    node.crash()
    node.disk = moved
    node.start()
    cluster.settle()
    assert node.disk.folder.identity != moved.folder.identity


def test_unnamed_folder_gets_no_vote() -> None:
    """Refuse a vote to a folder that the configuration does not name."""
    cluster = Cluster(3)
    cluster.run(50)
    node = next(filter(is_no_leader, cluster.nodes.values()))
    assert node.replica
    request = VoteRequest(99, 99, 99, is_pre_vote=False)
    identity = node.disk.folder.identity
    route = Route('stranger', identity, node.disk.configuration.cluster)
    outputs = node.replica.step(
        MessageReceived('control-9', request, route),
        node.get_local_s(cluster.true_s + 60),
    )
    assert not any(
        isinstance(one, SendMessage) and isinstance(one.message, VoteReply)
        for one in outputs
    )
    assert node.replica.term < 99


def test_repair_without_a_majority_is_refused() -> None:
    """Refuse to replace a folder while another replica is down.

    An operator doubts a disk while a second replica is off. Without both there
    would be no majority, and nothing could be accepted any more.
    """
    cluster = Cluster(3)
    cluster.run(50)
    leader, second, third = sorted(cluster.nodes.values(), key=is_no_leader)
    third.crash()
    cluster.run(20)
    now_s = leader.get_local_s(cluster.true_s)
    assert leader.replica
    outputs = leader.replica.step(RepairRequested(7, second.name), now_s)
    assert outputs == [ProposalRejected(7, leader.name)]


@pytest.mark.parametrize('steps', range(20))
def test_same_folder_lost_twice(steps: int) -> None:
    """Repair a replica whose new disk fails too, at any moment.

    The second loss comes while the first is being repaired. Were the lost
    folder to become a voter beside the one that it replaces, the two that are
    left would be no majority, and nobody could ever lead again.
    """
    cluster = Cluster(3)
    cluster.run(50)
    cluster.propose()
    cluster.run(3)
    node = next(filter(is_no_leader, cluster.nodes.values()))
    node.lose_folder(may_found=True)
    cluster.run(10 + steps)
    if cluster.may_lose(node):
        node.lose_folder(may_found=True)
    cluster.settle()
