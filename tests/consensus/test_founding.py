"""The first start of a cluster."""

from builders.replicas import Cluster


def test_nobody_leads_before_all_have_accepted() -> None:
    """Wait with the first election for the word of every folder.

    Two of three processes agree on a first configuration, and the third has
    not heard of it. Were they to serve, and one then lost its disk, it and the
    third would found another cluster, and what operators were told is
    accepted would be gone.
    """
    cluster = Cluster(3)
    cluster.tick()
    cluster.cuts.add(('control-1', 'control-3'))
    cluster.run(60)
    assert not cluster.leaders
    cluster.settle()


def test_lost_folder_founds_nothing() -> None:
    """Join as a learner with an empty folder, beside two that are down.

    The process that founds a cluster loses its disk while the others are off.
    Were it to begin anew, the others would find an empty state.
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
