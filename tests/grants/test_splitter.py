"""Tests of the division of a team's limit among entries."""

from sardinemast.grants import ROTATION_INTERVAL_S, EntryDemand, plan_grants


def test_free_unit_goes_to_longest_waiting() -> None:
    """Guard against granting a free unit out of order."""
    first, second = (
        _make_demand('entry-2', 0, 1, 1),
        _make_demand('entry-1', 0, 1, 2),
    )
    assert plan_grants((second, first), 1, now_s=9).raises == ((first, 1),)


def test_idle_units_are_recalled_before_used_ones() -> None:
    """Guard against recalling a used unit while another is idle."""
    idle, used = _make_demand('entry-1', 2, 1), _make_demand('entry-2', 3, 9)
    split = plan_grants((idle, used, _make_demand('entry-3', 0, 1)), 0, now_s=9)
    assert split.recalls == ((idle, 1),)


def test_small_limit_rotates() -> None:
    """Guard against starved entries when the limit is small."""
    holder, starved = (
        _make_demand('entry-1', 1, 5),
        _make_demand('entry-2', 0, 5),
    )
    demands = (holder, starved)
    assert not plan_grants(demands, 0, now_s=ROTATION_INTERVAL_S / 2).recalls
    assert plan_grants(demands, 0, now_s=ROTATION_INTERVAL_S).recalls == (
        (holder, 0),
    )


def test_pending_recall_is_not_repeated() -> None:
    """Guard against recalling units that are already being returned."""
    holder = _make_demand('entry-1', 2, 0)._replace(retained=1)
    split = plan_grants((holder, _make_demand('entry-2', 0, 1)), 0, now_s=9)
    assert split.recalls == ()


def test_exceeded_limit_allows_no_raise() -> None:
    """Guard against raises while grants exceed a lowered limit."""
    assert not plan_grants((_make_demand('entry-1', 0, 1),), -2, now_s=9).raises


def _make_demand(
    entry: str,
    held: int,
    wanted: int,
    waiting_since_s: float = 0,
) -> EntryDemand:
    return EntryDemand(
        entry=entry,
        incarnation=1,
        held=held,
        retained=held,
        wanted=wanted,
        is_settled=True,
        raised_at_s=0,
        waiting_since_s=waiting_since_s,
    )
