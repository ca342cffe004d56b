"""Splitting a team's limit over entries."""

from sardinemast.grants import ROTATION_INTERVAL_S, EntryDemand, plan_grants


def test_free_units_go_to_the_longest_waiting() -> None:
    """Whoever waits longest gets the unit that is free."""
    early, late = _need('entry-2', 0, 1, 1), _need('entry-1', 0, 1, 2)
    assert plan_grants((late, early), 1, now_s=9).raises == ((early, 1),)


def test_idle_units_are_asked_back_before_used_ones() -> None:
    """A unit that nobody uses moves before one in use."""
    idle, busy = _need('entry-1', 2, 1), _need('entry-2', 3, 9)
    split = plan_grants((idle, busy, _need('entry-3', 0, 1)), 0, now_s=9)
    assert split.recalls == ((idle, 1),)


def test_small_limit_rotates() -> None:
    """With fewer units than entries each entry gets its turn.

    Two entries' callers share a limit of one. The entry that came first is
    always busy; without turns the callers of the other would all come too
    late, though their team has the same right to both.
    """
    holder, starved = _need('entry-1', 1, 5), _need('entry-2', 0, 5)
    needs = (holder, starved)
    assert not plan_grants(needs, 0, now_s=ROTATION_INTERVAL_S / 2).recalls
    assert plan_grants(needs, 0, now_s=ROTATION_INTERVAL_S).recalls == (
        (holder, 0),
    )


def test_recall_under_way_is_not_repeated() -> None:
    """Units that are on their way back are counted."""
    giver = _need('entry-1', 2, 0)._replace(retained=1)
    split = plan_grants((giver, _need('entry-2', 0, 1)), 0, now_s=9)
    assert split.recalls == ()


def test_exceeded_limit_raises_nobody() -> None:
    """Nothing is given while a lowered limit is exceeded."""
    assert not plan_grants((_need('entry-1', 0, 1),), -2, now_s=9).raises


def _need(
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
