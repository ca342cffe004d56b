"""Compare the waiting tasks of a pool with its free capacity."""

from collections.abc import Callable
from typing import NamedTuple

from sardinemast.dispatch._step_facts import StepFacts
from sardinemast.jobs import ZERO_SIZE, JobsState, Size


class FreeForWaiting(NamedTuple):
    """Hold the free millicores that waiting tasks fit into.

    They are on so many ``workers``. ``is_enough`` tells that all waiting tasks
    fit; the rest of the capacity was not added up then.
    """

    millicores: int
    workers: int
    is_enough: bool


def measure_free(
    jobs: JobsState,
    pool: str,
    waiting: list[StepFacts],
    is_usable: Callable[[str], bool],
) -> FreeForWaiting:
    """Add up the free capacity of usable workers until all tasks fit.

    Workers that are too full for the smallest task do not count.
    """
    smallest = min(facts.millicores for facts in waiting)
    demand: Size | None = None
    total = ZERO_SIZE
    workers = 0
    for item in jobs.usage.free.iterate_emptiest(pool):
        if item.millicores < smallest:
            break
        if is_usable(item.worker):
            workers += 1
            demand = demand or _add_up(waiting)
            total = total.plus(jobs.usage.free.get(item.worker))
            if demand.fits(total):
                return FreeForWaiting(total.millicores, workers, is_enough=True)
    return FreeForWaiting(total.millicores, workers, is_enough=False)


def _add_up(waiting: list[StepFacts]) -> Size:
    total = ZERO_SIZE
    for facts in waiting:
        step = facts.step
        total = total.plus(step.spec.reserved_size, len(step.waiting))
    return total
