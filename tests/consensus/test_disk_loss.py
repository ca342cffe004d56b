"""Lose disks and power at once, in the middle of other operations."""

from collections.abc import Callable
from itertools import combinations
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from builders.replicas import STEP_S, Cluster, Node, is_not_leader

pytestmark = pytest.mark.fuzz
_REPLICAS = 5
_FOUNDERS = 3
_START_STEPS = 60
# The time that a replica with a new folder has until it counts again.
_CATCH_UP_STEPS = round(4 / STEP_S)
# A replica that is gone for good is replaced after 1.5 s.
_REPLACE_STEPS = round(1.5 / STEP_S)
_DELIVERIES_MAX = 400
_PADDING = b'x' * 64
_Scenario = Callable[[Cluster, Random], None]


def _make_cluster() -> Cluster:
    cluster = Cluster(_FOUNDERS, (1.0, 1.1, 1.05))
    cluster.open(_REPLICAS)
    for number in range(_FOUNDERS + 1, _REPLICAS + 1):
        cluster.add(f'control-{number}', _REPLICAS)
    cluster.run(_START_STEPS)
    cluster.propose()
    cluster.run(2)
    return cluster


def _pick(cluster: Cluster, random: Random) -> Node:
    return random.choice(tuple(cluster.nodes.values()))


def _replace_folder(cluster: Cluster, random: Random) -> None:
    _pick(cluster, random).lose_folder(may_found=False)
    cluster.run(random.randrange(_CATCH_UP_STEPS // 2))


def _transfer_snapshot(cluster: Cluster, random: Random) -> None:
    for _ in range(8):
        cluster.propose(_PADDING)
        cluster.run(1)
    for node in tuple(cluster.nodes.values()):
        cluster.snapshot(node)
    _replace_folder(cluster, random)


def _take_first_snapshot(cluster: Cluster, random: Random) -> None:
    cluster.propose(_PADDING)
    cluster.run(random.randrange(3))
    for node in tuple(cluster.nodes.values()):
        node.outputs_until_crash = random.choice((None, 0, 1))
        cluster.snapshot(node)


def _replace_replica(cluster: Cluster, random: Random) -> None:
    cluster.replace(_pick(cluster, random), _REPLICAS)
    cluster.run(_REPLACE_STEPS // 2 + random.randrange(_REPLACE_STEPS))


def _lose_replacement(cluster: Cluster, random: Random) -> None:
    added = cluster.replace(_pick(cluster, random), _REPLICAS)
    cluster.run(_REPLACE_STEPS + _CATCH_UP_STEPS)
    cluster.propose()
    cluster.run(random.randrange(3))
    cluster.preferred_loss = added


def _repair(cluster: Cluster, random: Random) -> None:
    cluster.request_repair(_pick(cluster, random).name)
    cluster.run(random.randrange(_CATCH_UP_STEPS // 2))


def _change_leader(cluster: Cluster, random: Random) -> None:
    leader = min(cluster.nodes.values(), key=is_not_leader)
    cluster.propose()
    if random.choice((True, False)):
        leader.crash()
    else:
        steps = random.randrange(1, 40)
        leader.frozen_until_s = cluster.true_s + steps * STEP_S
    cluster.run(random.randrange(2 * _REPLACE_STEPS))


_SCENARIOS: tuple[_Scenario, ...] = (
    _replace_folder,
    _transfer_snapshot,
    _take_first_snapshot,
    _replace_replica,
    _lose_replacement,
    _repair,
    _change_leader,
)


def _deliver_until_acknowledged(cluster: Cluster, random: Random) -> None:
    """Deliver messages out of order until a command is acknowledged."""
    known = cluster.acknowledged_index
    for _ in range(_DELIVERIES_MAX):
        if cluster.acknowledged_index > known:
            return
        if cluster.in_flight:
            cluster.deliver(random.randrange(len(cluster.in_flight)))
        else:
            cluster.tick()


def _count_entries(nodes: tuple[Node, ...]) -> int:
    return sum(
        node.disk.entries[-1].log_index for node in nodes if node.disk.entries
    )


def _draw_lost(cluster: Cluster, random: Random) -> tuple[Node, ...]:
    """Return two nodes, often those that hold the newest entries."""
    pairs = list(combinations(cluster.nodes.values(), 2))
    random.shuffle(pairs)
    if random.choice((True, False)):
        pairs.sort(key=_count_entries, reverse=True)
    pairs.sort(key=lambda pair: cluster.preferred_loss not in pair)
    allowed = (pair for pair in pairs if cluster.can_lose_folders(*pair))
    return next(allowed, ())


@pytest.mark.parametrize('scenario', _SCENARIOS)
@settings(max_examples=max(60, settings().max_examples // 10))
@given(seed=st.integers(0, 1 << 32))
def test_acknowledged_commands_survive_loss_of_disks_and_power(
    scenario: _Scenario, seed: int
) -> None:
    """An acknowledged command is gone after a loss of two disks and power."""
    random = Random(seed)
    cluster = _make_cluster()
    scenario(cluster, random)
    cluster.propose()
    if random.randrange(5):
        _deliver_until_acknowledged(cluster, random)
    acknowledged_index = cluster.acknowledged_index
    acknowledged_image = cluster.images[acknowledged_index]
    outputs = tuple(random.randrange(9) for _ in range(_REPLICAS))
    is_torn = random.choice((True, False))
    lost = _draw_lost(cluster, random)
    cluster.lose_power(lost, outputs if is_torn else ())
    cluster.settle()
    for node in cluster.nodes.values():
        assert node.applied_index >= acknowledged_index
        assert node.image.startswith(acknowledged_image)


@pytest.mark.parametrize('seed', range(10))
def test_replaced_folders_count_again_in_time(seed: int) -> None:
    """Two more disks are lost after a catch-up, and there is no majority."""
    random = Random(seed)
    cluster = _make_cluster()
    for _ in range(4):
        cluster.lose_power(_draw_lost(cluster, random))
        cluster.run(_CATCH_UP_STEPS)
        for pair in combinations(cluster.nodes.values(), 2):
            assert cluster.can_lose_folders(*pair)
