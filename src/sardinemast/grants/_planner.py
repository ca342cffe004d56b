"""Split one team's limit over the entries that want to run its work."""

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import cycle, islice
from typing import NamedTuple

ROTATION_INTERVAL_S = 0.25
_MIN_EXCESS = 1.0
_MIN_LACK = 0.5


class EntryDemand(NamedTuple):
    """Hold what one living entry holds and wants of a team's limit.

    ``retained`` is the part of ``held`` that is left once the entry has
    answered pending recalls. ``is_settled`` is false while a change of its
    grant is being committed. ``raised_at_s`` is when its grant last grew, and
    ``waiting_since_s`` when it began to wait for more.
    """

    entry: str
    incarnation: int
    held: int
    retained: int
    wanted: int
    is_settled: bool
    raised_at_s: float
    waiting_since_s: float

    @property
    def shortfall(self) -> int:
        """Give what it could use beyond what stays with it."""
        return max(0, self.wanted - self.retained)

    @property
    def idle(self) -> int:
        """Give what stays with it and is not used."""
        return max(0, self.retained - self.wanted)


class GrantPlan(NamedTuple):
    """Hold the new amount of each entry that is to be raised or recalled."""

    raises: tuple[tuple[EntryDemand, int], ...]
    recalls: tuple[tuple[EntryDemand, int], ...]


def plan_grants(
    needs: tuple[EntryDemand, ...],
    free: int,
    now_s: float,
) -> GrantPlan:
    """Give out what is free, then ask back what others wait for.

    Idle units are asked back first. Where none is idle, units move from an
    entry with more than its part by demand, at most one each
    ``ROTATION_INTERVAL_S``: each move costs a commit and leaves the unit
    unused for as long.
    """
    coming = sum(one.held - one.retained for one in needs)
    lacking = sum(one.shortfall for one in needs) - max(0, free) - coming
    raises = tuple(_plan_raises(needs, free))
    if lacking <= 0:
        return GrantPlan(raises, ())
    recalls = dict(_plan_idle(needs, lacking))
    if not recalls:
        recalls = dict(_plan_rotation(needs, free, now_s))
    return GrantPlan(raises, tuple(recalls.items()))


def _plan_raises(
    needs: tuple[EntryDemand, ...],
    free: int,
) -> Iterator[tuple[EntryDemand, int]]:
    if free <= 0:
        return
    waiting = sorted(
        (one for one in needs if one.shortfall and one.is_settled),
        key=lambda one: (one.waiting_since_s, one.entry),
    )
    lacking = sum(one.shortfall for one in waiting)
    # A spare unit with each entry spares the next request a round trip; half
    # of what is free stays with the leader for the others.
    spare = max(0, free - lacking) // (2 * max(1, len(needs)))
    turns = islice(_take_turns(waiting), min(free, lacking))
    for need, more in Counter(turns).items():
        yield need, need.held + more + spare


def _take_turns(waiting: list[EntryDemand]) -> Iterator[EntryDemand]:
    left = {one: one.shortfall for one in waiting}
    for one in cycle(waiting):
        if left[one]:
            left[one] -= 1
            yield one
        elif not any(left.values()):
            return


def _plan_idle(
    needs: Iterable[EntryDemand],
    lacking: int,
) -> Iterator[tuple[EntryDemand, int]]:
    idlest_first = sorted(needs, key=_rank_by_idle)
    for one in idlest_first:
        taken = min(one.idle, lacking)
        if taken and one.is_settled:
            lacking -= taken
            yield one, one.retained - taken


def _rank_by_idle(one: EntryDemand) -> tuple[int, str]:
    return (-one.idle, one.entry)


def _plan_rotation(
    needs: tuple[EntryDemand, ...],
    free: int,
    now_s: float,
) -> Iterator[tuple[EntryDemand, int]]:
    whole = max(0, free) + sum(one.held for one in needs)
    part = whole / sum(one.wanted for one in needs)
    givers = sorted(
        (one for one in needs if _may_give(one, now_s)),
        key=lambda one: (one.raised_at_s, one.entry),
    )
    takers = sorted(
        (one for one in needs if one.shortfall),
        key=lambda one: (bool(one.held), one.waiting_since_s, one.entry),
    )
    under_way = sum(one.held - one.retained for one in needs)
    for giver, taker in zip(givers, takers[under_way:], strict=False):
        if _is_move_due(giver, taker, part):
            yield giver, giver.held - 1


def _is_move_due(giver: EntryDemand, taker: EntryDemand, part: float) -> bool:
    excess = giver.held - part * giver.wanted
    shortfall = part * taker.wanted - taker.held
    is_starved = excess > 0 and not taker.held
    return is_starved or (excess >= _MIN_EXCESS and shortfall >= _MIN_LACK)


def _may_give(one: EntryDemand, now_s: float) -> bool:
    is_whole = one.is_settled and one.retained == one.held
    return (
        is_whole
        and one.held > 0
        and now_s >= one.raised_at_s + ROTATION_INTERVAL_S
    )
