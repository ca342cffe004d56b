"""Test lost, replaced and restored data folders."""

import pytest

from builders.replicas import Cluster, is_not_leader
from sardinemast.consensus import (
    MessageReceived,
    ProposalRejected,
    RepairRequested,
    Route,
    SendMessage,
    VoteReply,
    VoteRequest,
)


def test_losing_folders_in_turn_keeps_acknowledged_commands() -> None:
    """Keep acknowledged commands when each folder is lost after a repair.

    A replacement that became a voter before it caught up would lose them.
    """
    cluster = Cluster(3)
    cluster.run(50)
    for _ in range(3):
        cluster.propose()
        cluster.run(3)
    acknowledged = dict(cluster.committed)
    for node in sorted(cluster.nodes.values(), key=is_not_leader):
        node.lose_folder(may_found=True)
        cluster.settle()
    assert acknowledged.items() <= cluster.committed.items()


def test_replaced_folder_is_retired_when_restored() -> None:
    """Retire a replaced folder that an operator moves back.

    Its own configuration still lists it as a voter, but it must not act as one.
    """
    cluster = Cluster(3)
    cluster.run(50)
    node = next(filter(is_not_leader, cluster.nodes.values()))
    replaced_disk = node.disk
    node.lose_folder(may_found=True)
    cluster.settle()
    node.crash()
    node.disk = replaced_disk
    node.start()
    cluster.settle()
    assert node.disk.folder.identity != replaced_disk.folder.identity


def test_non_member_gets_no_vote() -> None:
    """Ignore a vote request from a folder outside the configuration."""
    cluster = Cluster(3)
    cluster.run(50)
    node = next(filter(is_not_leader, cluster.nodes.values()))
    assert node.replica
    request = VoteRequest(99, 99, 99, is_pre_vote=False)
    identity = node.disk.folder.identity
    route = Route('stranger', identity, node.disk.configuration.cluster)
    outputs = node.replica.step(
        MessageReceived('control-9', request, route),
        node.get_local_s(cluster.true_s + 60),
    )
    assert not any(
        isinstance(output, SendMessage)
        and isinstance(output.message, VoteReply)
        for output in outputs
    )
    assert node.replica.term < 99


def test_repair_without_a_majority_is_refused() -> None:
    """Reject a repair while another replica is down.

    Without both replicas there would be no majority.
    """
    cluster = Cluster(3)
    cluster.run(50)
    leader, second, third = sorted(cluster.nodes.values(), key=is_not_leader)
    third.crash()
    cluster.run(20)
    now_s = leader.get_local_s(cluster.true_s)
    assert leader.replica
    outputs = leader.replica.step(RepairRequested(7, second.name), now_s)
    assert outputs == [ProposalRejected(7, leader.name)]


@pytest.mark.parametrize('steps', range(20))
def test_replacement_folder_is_lost_too(steps: int) -> None:
    """Recover when the replacement folder is lost at any step of a repair.

    If it became a voter before the old folder was removed, the remaining two
    replicas would be no majority.
    """
    cluster = Cluster(3)
    cluster.run(50)
    cluster.propose()
    cluster.run(3)
    node = next(filter(is_not_leader, cluster.nodes.values()))
    node.lose_folder(may_found=True)
    cluster.run(10 + steps)
    if cluster.can_lose_folders(node):
        node.lose_folder(may_found=True)
    cluster.settle()
