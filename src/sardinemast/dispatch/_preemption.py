"""Choose the runs on one worker that give way to a waiting task."""

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from sardinemast.jobs import Size, Step, TaskKey


class Rank(NamedTuple):
    """Order tasks by who gives way; the smallest rank gives way last."""

    is_best_effort: bool
    priority: int
    is_batch: bool


class Loss(IntEnum):
    """Order runs by what stopping them loses, the cheapest first."""

    best_effort = 0
    checkpoint = 1
    restart = 2
    service = 3


class Candidate(NamedTuple):
    """Hold a run that may be stopped, and the capacity that it reserves.

    ``lost_work`` is in millicores times milliseconds, since the start of the
    run or its last checkpoint.
    """

    task: TaskKey
    number: int
    size: Size
    loss: Loss
    lost_work: float


class Demand(NamedTuple):
    """Hold the size of a waiting task, and the work that it must exceed.

    ``work`` is in millicores times milliseconds.
    """

    size: Size
    work: float


class Choice(NamedTuple):
    """Hold a worker and the runs to stop there."""

    worker: str
    victims: tuple[Candidate, ...]


def get_rank(priority: int, step: Step) -> Rank:
    """Return the rank of the tasks of a step in a queue of this priority."""
    if step.is_best_effort:
        # A best-effort task gives way to any other, whatever its queue.
        return Rank(is_best_effort=True, priority=0, is_batch=False)
    return Rank(
        is_best_effort=False,
        priority=priority,
        is_batch=not step.is_long_running,
    )


def may_preempt(waiting: Rank, running: Rank) -> bool:
    """Check whether a task may take the capacity of a run."""
    if waiting.is_best_effort:
        return False
    if running.is_best_effort:
        return True
    # What a service loses by a restart is not declared, so it cannot be
    # compared with the work of a task that ends.
    if waiting.is_batch and not running.is_batch:
        return False
    return waiting.priority < running.priority


def get_loss(step: Step) -> Loss:
    """Return what kind of loss stopping a run of a step is."""
    if step.is_best_effort:
        return Loss.best_effort
    if step.is_long_running:
        return Loss.service
    return Loss.checkpoint if step.can_checkpoint else Loss.restart


def choose_victims(
    demand: Demand,
    free_by_worker: dict[str, Size],
    candidates: dict[str, list[Candidate]],
) -> Choice | None:
    """Choose the worker where making room for a task loses least.

    Return ``None`` if the task fits nowhere, or if stopping the runs loses at
    least as much work as the task has.
    """
    best: tuple[tuple[float, ...], Choice] | None = None
    for worker, runs in candidates.items():
        victims = _choose_on_worker(demand.size, free_by_worker[worker], runs)
        if not victims or _sum_lost_work(victims) >= demand.work:
            continue
        cost = (
            max(one.loss for one in victims),
            _sum_lost_work(victims),
            len(victims),
        )
        if best is None or cost < best[0]:
            best = (cost, Choice(worker, victims))
    return best[1] if best else None


def _choose_on_worker(
    size: Size,
    free: Size,
    runs: Iterable[Candidate],
) -> tuple[Candidate, ...]:
    victims: list[Candidate] = []
    for run in sorted(runs, key=_get_cost):
        if size.fits(free):
            break
        victims.append(run)
        free = free.plus(run.size)
    if not size.fits(free):
        return ()
    # A cheap run may free none of the capacity that the task lacks.
    for victim in reversed(tuple(victims)):
        without = free.plus(victim.size, -1)
        if size.fits(without):
            victims.remove(victim)
            free = without
    return tuple(victims)


def _get_cost(run: Candidate) -> tuple[float, ...]:
    return (run.loss, run.lost_work)


def _sum_lost_work(victims: Iterable[Candidate]) -> float:
    return sum(one.lost_work for one in victims)
