"""Tests of the division of a pool's slots."""

from types import MappingProxyType

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinemast.grants import PoolShares, TeamQuota, split_max_min
from sardinemast.protocol import PoolUse, TeamUse

_QUOTAS = MappingProxyType(
    {'a': TeamQuota(1, 99), 'b': TeamQuota(1, 99), 'c': TeamQuota(2, 4)}
)


@given(
    capacity=st.floats(0, 99),
    demands=st.lists(
        st.tuples(st.floats(0.1, 99), st.floats(0.1, 9)),
        min_size=1,
        max_size=6,
    ),
)
def test_max_min_is_complete_and_fair(
    capacity: float,
    demands: list[tuple[float, float]],
) -> None:
    """Guard against wasted capacity and unequal shares."""
    wanted = {str(index): want for index, (want, _) in enumerate(demands)}
    weights = {str(index): weight for index, (_, weight) in enumerate(demands)}
    allotments = split_max_min(capacity, wanted, weights)
    expected_total = min(capacity, sum(wanted.values()))
    assert sum(allotments.values()) == pytest.approx(expected_total)
    unmet = [
        allotments[team] / weights[team]
        for team in allotments
        if allotments[team] < wanted[team] - 1e-6
    ]
    assert not unmet or min(unmet) == pytest.approx(max(unmet))


def test_slots_follow_demand_within_the_pool() -> None:
    """Guard against slots left at entries without demand."""
    shares = PoolShares('pool')
    shares.record_use('entry-1', _use('a', waiting=50, running=3))
    shares.record_use('entry-2', _use('b', waiting=0, running=1))
    allotments = shares.plan(_QUOTAS, ('entry-1', 'entry-2', 'entry-3'), 1)
    slots = {entry: allotment.slots for entry, allotment in allotments.items()}
    assert sum(slots.values()) == 8
    assert slots == {'entry-1': 7, 'entry-2': 1, 'entry-3': 0}


def test_underserved_team_gets_more() -> None:
    """Guard against teams that never recover missed service."""
    shares = PoolShares('pool')
    for now_s in range(3):
        shares.record_use('entry-1', _use('a', 9, 6, used_s=6.0 * now_s))
        shares.record_use('entry-2', _use('b', 9, 2, used_s=2.0 * now_s))
        allotments = shares.plan(_QUOTAS, ('entry-1', 'entry-2'), now_s)
    assert (
        allotments['entry-2'].teams[0].slots
        > allotments['entry-1'].teams[0].slots
    )


def test_limit_bounds_allotment() -> None:
    """Guard against slots that a team's limit leaves unused."""
    shares = PoolShares('pool')
    shares.record_use('entry-1', _use('a', 20, 0))
    shares.record_use('entry-2', _use('c', 20, 0))
    allotments = shares.plan(_QUOTAS, ('entry-1', 'entry-2'), 1)
    assert allotments['entry-2'].teams[0].slots == pytest.approx(4)


def _use(team: str, waiting: int, running: int, used_s: float = 0) -> PoolUse:
    return PoolUse('pool', 8, (TeamUse(team, waiting, running, used_s),))


def test_slots_of_an_odd_report_are_limited() -> None:
    """Guard against a leader that assigns slots one by one without end."""
    shares = PoolShares('pool')
    use = _use('a', waiting=5, running=1)._replace(capacity_slots=2**63)
    shares.record_use('entry-1', use)
    assert shares.plan(_QUOTAS, ('entry-1',), 1)['entry-1'].slots > 5
