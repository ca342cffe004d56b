"""Plan how one team's limit is divided among entries."""

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import cycle, islice
from typing import NamedTuple

ROTATION_INTERVAL_S = 0.25
_MIN_EXCESS_UNITS = 1.0
_MIN_DEFICIT_UNITS = 0.5


class EntryDemand(NamedTuple):
    """Hold one live entry's grant of a team's limit and its demand.

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
        """Return the demand beyond the retained amount."""
        return max(0, self.wanted - self.retained)

    @property
    def idle(self) -> int:
        """Return the retained amount that exceeds the demand."""
        return max(0, self.retained - self.wanted)


class GrantPlan(NamedTuple):
    """Hold the new amounts of the grants to raise and to recall."""

    raises: tuple[tuple[EntryDemand, int], ...]
    recalls: tuple[tuple[EntryDemand, int], ...]


def plan_grants(
    demands: tuple[EntryDemand, ...],
    free: int,
    now_s: float,
) -> GrantPlan:
    """Plan raises from the unallocated amount, and recalls for the rest.

    Unused units are recalled first. If there are none, units move away from
    entries that hold more than their proportional share, at most one per
    entry and ``ROTATION_INTERVAL_S``: each move costs a commit, during which
    nobody uses the unit.
    """
    pending_returns = sum(demand.held - demand.retained for demand in demands)
    shortage = (
        sum(demand.shortfall for demand in demands)
        - max(0, free)
        - pending_returns
    )
    raises = tuple(_plan_raises(demands, free))
    if shortage <= 0:
        return GrantPlan(raises, ())
    recalls = dict(_plan_idle(demands, shortage))
    if not recalls:
        recalls = dict(_plan_rotation(demands, free, now_s))
    return GrantPlan(raises, tuple(recalls.items()))


def _plan_raises(
    demands: tuple[EntryDemand, ...],
    free: int,
) -> Iterator[tuple[EntryDemand, int]]:
    if free <= 0:
        return
    waiting = sorted(
        (
            demand
            for demand in demands
            if demand.shortfall and demand.is_settled
        ),
        key=lambda demand: (demand.waiting_since_s, demand.entry),
    )
    shortage = sum(demand.shortfall for demand in waiting)
    # Spare units save an entry's next request a round trip to the leader,
    # which keeps half of them for entries that ask later.
    spare = max(0, free - shortage) // (2 * max(1, len(demands)))
    assigned = islice(_iterate_round_robin(waiting), min(free, shortage))
    for recipient, extra in Counter(assigned).items():
        yield recipient, recipient.held + extra + spare


def _iterate_round_robin(waiting: list[EntryDemand]) -> Iterator[EntryDemand]:
    unmet = {demand: demand.shortfall for demand in waiting}
    for demand in cycle(waiting):
        if unmet[demand]:
            unmet[demand] -= 1
            yield demand
        elif not any(unmet.values()):
            return


def _plan_idle(
    demands: Iterable[EntryDemand],
    shortage: int,
) -> Iterator[tuple[EntryDemand, int]]:
    by_idle = sorted(demands, key=_get_idle_rank)
    for demand in by_idle:
        recalled = min(demand.idle, shortage)
        if recalled and demand.is_settled:
            shortage -= recalled
            yield demand, demand.retained - recalled


def _get_idle_rank(demand: EntryDemand) -> tuple[int, str]:
    return (-demand.idle, demand.entry)


def _plan_rotation(
    demands: tuple[EntryDemand, ...],
    free: int,
    now_s: float,
) -> Iterator[tuple[EntryDemand, int]]:
    total = max(0, free) + sum(demand.held for demand in demands)
    share_ratio = total / sum(demand.wanted for demand in demands)
    donors = sorted(
        (demand for demand in demands if _can_donate(demand, now_s)),
        key=lambda demand: (demand.raised_at_s, demand.entry),
    )
    recipients = sorted(
        (demand for demand in demands if demand.shortfall),
        key=lambda demand: (
            bool(demand.held),
            demand.waiting_since_s,
            demand.entry,
        ),
    )
    pending_moves = sum(demand.held - demand.retained for demand in demands)
    for donor, recipient in zip(
        donors, recipients[pending_moves:], strict=False
    ):
        if _is_move_due(donor, recipient, share_ratio):
            yield donor, donor.held - 1


def _is_move_due(
    donor: EntryDemand, recipient: EntryDemand, share_ratio: float
) -> bool:
    excess = donor.held - share_ratio * donor.wanted
    shortfall = share_ratio * recipient.wanted - recipient.held
    is_starved = excess > 0 and not recipient.held
    return is_starved or (
        excess >= _MIN_EXCESS_UNITS and shortfall >= _MIN_DEFICIT_UNITS
    )


def _can_donate(demand: EntryDemand, now_s: float) -> bool:
    is_stable = demand.is_settled and demand.retained == demand.held
    return (
        is_stable
        and demand.held > 0
        and now_s >= demand.raised_at_s + ROTATION_INTERVAL_S
    )
