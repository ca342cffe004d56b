"""Test replicas that restart while a leader holds a lease."""

from builders.replicas import Cluster
from sardinemast.consensus import Role, VoteRequest


def test_restarted_follower_respects_leader_lease() -> None:
    """Refuse a vote right after a restart.

    The follower answered a heartbeat before it crashed. If it voted at once,
    a second leader could serve while the first one's lease is valid.
    """
    cluster = Cluster(3)
    cluster.run(50)
    leader = next(
        node
        for node in cluster.nodes.values()
        if node.replica and node.replica.role is Role.leader
    )
    isolated, voter = (
        node for node in cluster.nodes.values() if node is not leader
    )
    cluster.cut_links.add((leader.name, isolated.name))
    while not any(
        isinstance(envelope.message, VoteRequest)
        for envelope in cluster.in_flight
    ):
        cluster.deliver_all()
        cluster.tick()
    voter.crash()
    voter.start()
    cluster.cut_links.add((leader.name, voter.name))
    cluster.run(6)
    assert voter.replica
    assert voter.replica.leader != isolated.name
