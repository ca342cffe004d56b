"""Test how a cluster bootstraps."""

from builders.replicas import Cluster


def test_no_election_before_all_have_accepted() -> None:
    """Wait with the first election until every folder has accepted.

    Otherwise the folder that has not accepted and one that is lost later could
    bootstrap another cluster, and acknowledged commands would be lost.
    """
    cluster = Cluster(3)
    cluster.tick()
    cluster.cut_links.add(('control-1', 'control-3'))
    cluster.run(60)
    assert not cluster.leaders
    cluster.settle()


def test_lost_folder_does_not_bootstrap() -> None:
    """Wait to join when the founder loses its folder and the others are down.

    If it bootstrapped again, the others would find an empty state.
    """
    cluster = Cluster(3)
    cluster.run(50)
    for name in ('control-2', 'control-3'):
        cluster.nodes[name].crash()
    founder = cluster.nodes['control-1']
    founder.lose_folder(may_found=True)
    cluster.run(60)
    assert founder.disk.configuration.members == ()
    cluster.settle()
