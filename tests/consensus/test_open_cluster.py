"""Clusters that replicas of any name may join."""

from builders.replicas import Cluster, is_no_leader
from sardinemast.consensus import AppendEntries, CommandProposed, SendMessage

_LONG = 100
_PADDING = b'x' * 64


def _make_open(voters_max: int) -> Cluster:
    cluster = Cluster(3)
    cluster.open(voters_max)
    cluster.run(50)
    return cluster


def test_replicas_join_up_to_the_number_of_voters() -> None:
    """Three founders know nobody else; two more come and then a third.

    Five voters bear two losses at once. A sixth would make it no better, and
    stays a learner until it is needed.
    """
    cluster = _make_open(5)
    for number in (4, 5, 6):
        cluster.add(f'control-{number}', 5)
        cluster.run(_LONG)
    assert len(cluster.get_voters()) == 5
    assert {'control-4', 'control-5'} <= cluster.get_voters()


def test_new_replica_takes_the_place_of_one_that_is_gone() -> None:
    """A machine is removed for good, and another comes at a new address.

    As long as the lost one counts as a voter, the cluster bears one loss less
    than it should.
    """
    cluster = _make_open(3)
    gone = next(filter(is_no_leader, cluster.nodes.values()))
    cluster.nodes.pop(gone.name)
    cluster.bag.clear()
    cluster.add('control-9', 3)
    for _ in range(_LONG):
        cluster.tick()
        cluster.bag = [one for one in cluster.bag if one.to in cluster.nodes]
        cluster.deliver_all()
    assert gone.name not in cluster.get_voters()
    assert 'control-9' in cluster.get_voters()
    assert len(cluster.get_voters()) == 3


def test_replica_that_is_heard_keeps_its_place() -> None:
    """A replica waits for a place while all voters are well."""
    cluster = _make_open(3)
    before = cluster.get_voters()
    cluster.add('control-9', 3)
    cluster.run(_LONG)
    assert cluster.get_voters() == before


def test_new_replica_finds_a_leader_that_its_settings_do_not_name() -> None:
    """The leader came later than the founders, which all follow it."""
    cluster = _make_open(5)
    cluster.add('control-4', 5)
    cluster.run(_LONG)
    for name in cluster.names:
        cluster.nodes[name].frozen_until_s = cluster.true_s + 3
    cluster.run(10)
    for name in cluster.names:
        cluster.nodes[name].frozen_until_s = 0
    cluster.run(_LONG)
    cluster.add('control-5', 5)
    cluster.run(_LONG)
    assert 'control-5' in cluster.get_voters()


def test_probe_is_not_sent_with_each_proposal() -> None:
    """A follower lost its log's tail and is asked where it agrees.

    Each question may carry a megabyte. With a hundred proposals a second
    they would fill the link to a follower that stands still, and the memory
    of both ends.
    """
    cluster = _make_open(3)
    leader = next(
        one for one in cluster.nodes.values() if not is_no_leader(one)
    )
    follower = next(filter(is_no_leader, cluster.nodes.values()))
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
            isinstance(one, SendMessage)
            and one.to == follower.name
            and isinstance(one.message, AppendEntries)
            and len(one.message.entries) > 1
            for one in leader.replica.step(event, now_s)
        )
    assert sent <= 2
