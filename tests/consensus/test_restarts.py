"""A replica that starts again while a leader trusts its lease."""

from builders.replicas import Cluster
from sardinemast.consensus import Role, VoteRequest


def test_restart_keeps_the_lease() -> None:
    """Refuse to depose a leader right after a restart.

    A follower answers a heartbeat, crashes and is back at once, while a
    replica that no longer hears the leader asks for votes. If the follower
    votes at once, two leaders answer operators, and the old one from a state
    that has been replaced.
    """
    cluster = Cluster(3)
    cluster.run(50)
    leader = next(
        node
        for node in cluster.nodes.values()
        if node.replica and node.replica.role is Role.leader
    )
    lonely, voter = (
        node for node in cluster.nodes.values() if node is not leader
    )
    cluster.cuts.add((leader.name, lonely.name))
    while not any(isinstance(one.message, VoteRequest) for one in cluster.bag):
        cluster.deliver_all()
        cluster.tick()
    voter.crash()
    voter.start()
    cluster.cuts.add((leader.name, voter.name))
    cluster.run(6)
    assert voter.replica
    assert voter.replica.leader != lonely.name
