"""Choice of moves as peaks come in turns."""

from builders.waves import WaveSimulation
from sardinemast import maintenance

_POOLS = ('orders', 'billing', 'spare')


def _ask(simulation: WaveSimulation, **wanted: float) -> None:
    demands = tuple(
        maintenance.PoolDemand(pool, wanted.get(pool, 0.2)) for pool in _POOLS
    )
    simulation.advance()
    simulation.feed(maintenance.DemandReported(demands))


def _count(simulation: WaveSimulation, pool: str) -> int:
    return sum(one.pool == pool for one in simulation.state.instances.values())


def test_peak_draws_from_the_spare_pool_first() -> None:
    """Move idle instances to the pool whose peak comes."""
    simulation = WaveSimulation()
    for _ in range(14):
        _ask(simulation)
    for _ in range(14):
        _ask(simulation, billing=2.5)
    assert (_count(simulation, 'billing'), _count(simulation, 'spare')) == (
        3,
        1,
    )


def test_short_dip_moves_nothing() -> None:
    """Take nothing from a pool that asks for little for a moment.

    Demand drops for a second while callers change over. If its instances
    left at once, they would be missing when it comes back.
    """
    simulation = WaveSimulation()
    for _ in range(14):
        _ask(simulation, orders=4, billing=2, spare=2)
    for second in range(12):
        dip = 1.0 if second % 3 else 4.0
        _ask(simulation, orders=dip, billing=3, spare=2)
    assert _count(simulation, 'orders') == 4
