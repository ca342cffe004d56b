"""Shares of a pool's slots."""

from types import MappingProxyType

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinemast.grants import PoolShares, TeamQuota, split_max_min
from sardinemast.protocol import PoolUse, TeamUse

_TERMS = MappingProxyType(
    {'a': TeamQuota(1, 99), 'b': TeamQuota(1, 99), 'c': TeamQuota(2, 4)}
)


@given(
    capacity=st.floats(0, 99),
    wants=st.lists(
        st.tuples(st.floats(0.1, 99), st.floats(0.1, 9)),
        min_size=1,
        max_size=6,
    ),
)
def test_max_min_is_whole_and_fair(
    capacity: float,
    wants: list[tuple[float, float]],
) -> None:
    """All of a wanted pool is given, and who wants more has equal parts."""
    wanted = {str(place): want for place, (want, _) in enumerate(wants)}
    weights = {str(place): weight for place, (_, weight) in enumerate(wants)}
    parts = split_max_min(capacity, wanted, weights)
    whole = min(capacity, sum(wanted.values()))
    assert sum(parts.values()) == pytest.approx(whole)
    unmet = [
        parts[team] / weights[team]
        for team in parts
        if parts[team] < wanted[team] - 1e-6
    ]
    assert not unmet or min(unmet) == pytest.approx(max(unmet))


def test_slots_follow_demand_and_never_pass_the_pool() -> None:
    """Callers that all come to one entry find the slots there."""
    shares = PoolShares('pool')
    shares.record_use('entry-1', _use('a', waiting=50, running=3))
    shares.record_use('entry-2', _use('b', waiting=0, running=1))
    parts = shares.plan(_TERMS, ('entry-1', 'entry-2', 'entry-3'), 1)
    slots = {entry: part.slots for entry, part in parts.items()}
    assert sum(slots.values()) == 8
    assert slots == {'entry-1': 7, 'entry-2': 1, 'entry-3': 0}


def test_team_that_got_less_is_owed_the_rest() -> None:
    """What a team misses in one moment it gets in the next."""
    shares = PoolShares('pool')
    for moment in range(3):
        shares.record_use('entry-1', _use('a', 9, 6, used_s=6.0 * moment))
        shares.record_use('entry-2', _use('b', 9, 2, used_s=2.0 * moment))
        parts = shares.plan(_TERMS, ('entry-1', 'entry-2'), moment)
    assert parts['entry-2'].teams[0].slots > parts['entry-1'].teams[0].slots


def test_limit_of_a_team_bounds_its_part() -> None:
    """Slots that a team may not use by its limit go to the others."""
    shares = PoolShares('pool')
    shares.record_use('entry-1', _use('a', 20, 0))
    shares.record_use('entry-2', _use('c', 20, 0))
    parts = shares.plan(_TERMS, ('entry-1', 'entry-2'), 1)
    assert parts['entry-2'].teams[0].slots == pytest.approx(4)


def _use(team: str, waiting: int, running: int, used_s: float = 0) -> PoolUse:
    return PoolUse('pool', 8, (TeamUse(team, waiting, running, used_s),))
