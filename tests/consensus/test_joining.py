"""Test clusters that replicas of any name may join."""

from builders.replicas import Cluster, is_not_leader
from sardinemast.consensus import AppendEntries, CommandProposed, SendMessage

_CONVERGENCE_STEPS = 100
_PADDING = b'x' * 64


def _make_open_cluster(voters_max: int) -> Cluster:
    cluster = Cluster(3)
    cluster.open(voters_max)
    cluster.run(50)
    return cluster


def test_joining_replicas_become_voters_up_to_the_maximum() -> None:
    """Promote joining replicas until there are five voters.

    A sixth voter would not let the cluster tolerate more failures.
    """
    cluster = _make_open_cluster(5)
    for number in (4, 5, 6):
        cluster.add(f'control-{number}', 5)
        cluster.run(_CONVERGENCE_STEPS)
    assert len(cluster.get_voters()) == 5
    assert {'control-4', 'control-5'} <= cluster.get_voters()


def test_new_replica_replaces_unreachable_voter() -> None:
    """Replace a voter that is gone for good by one with another name.

    While the lost one counts as a voter, the cluster tolerates one failure
    less than configured.
    """
    cluster = _make_open_cluster(3)
    removed = next(filter(is_not_leader, cluster.nodes.values()))
    cluster.nodes.pop(removed.name)
    cluster.in_flight.clear()
    cluster.add('control-9', 3)
    for _ in range(_CONVERGENCE_STEPS):
        cluster.tick()
        cluster.in_flight = [
            envelope
            for envelope in cluster.in_flight
            if envelope.to in cluster.nodes
        ]
        cluster.deliver_all()
    assert removed.name not in cluster.get_voters()
    assert 'control-9' in cluster.get_voters()
    assert len(cluster.get_voters()) == 3


def test_reachable_voter_is_not_replaced() -> None:
    """Keep a new replica a learner while all voters are reachable."""
    cluster = _make_open_cluster(3)
    before = cluster.get_voters()
    cluster.add('control-9', 3)
    cluster.run(_CONVERGENCE_STEPS)
    assert cluster.get_voters() == before


def test_new_replica_finds_leader_missing_from_its_settings() -> None:
    """Join through the original voters while a later replica leads."""
    cluster = _make_open_cluster(5)
    cluster.add('control-4', 5)
    cluster.run(_CONVERGENCE_STEPS)
    for name in cluster.names:
        cluster.nodes[name].frozen_until_s = cluster.true_s + 3
    cluster.run(10)
    for name in cluster.names:
        cluster.nodes[name].frozen_until_s = 0
    cluster.run(_CONVERGENCE_STEPS)
    cluster.add('control-5', 5)
    cluster.run(_CONVERGENCE_STEPS)
    assert 'control-5' in cluster.get_voters()


def test_probe_is_not_repeated_with_each_proposal() -> None:
    """Probe a follower that lost the end of its log once per heartbeat.

    Probes carry entries, and repeating them with each proposal would fill the
    link to a stalled follower and the memory of both ends.
    """
    cluster = _make_open_cluster(3)
    leader = next(
        node for node in cluster.nodes.values() if not is_not_leader(node)
    )
    follower = next(filter(is_not_leader, cluster.nodes.values()))
    for _ in range(20):
        cluster.propose(_PADDING)
        cluster.run(1)
    follower.crash()
    follower.disk.entries = follower.disk.entries[:5]
    follower.disk.snapshot = None
    follower.start()
    cluster.run(4)
    follower.frozen_until_s = cluster.true_s + 60
    assert leader.replica
    sent = 0
    for number in range(100):
        now_s = leader.get_local_s(cluster.true_s + number / 1000)
        event = CommandProposed(number, _PADDING)
        sent += sum(
            isinstance(output, SendMessage)
            and output.to == follower.name
            and isinstance(output.message, AppendEntries)
            and len(output.message.entries) > 1
            for output in leader.replica.step(event, now_s)
        )
    assert sent <= 2
