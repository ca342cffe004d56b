"""Room for urgent jobs: checkpoint before throttle before stop."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from sardinemast.placement._events import RunAction
from sardinemast.placement._records import (
    Job,
    Priority,
    Run,
    Size,
    Worker,
    WorkerStatus,
)
from sardinemast.placement._state import PlacementState

# An urgent job is to start within 1.3 s; a checkpoint that takes longer than
# this gives way to the next means.
CHECKPOINT_S = 0.5
THROTTLE_S = 0.3
_RANKS = tuple(Priority)
_THROTTLE_DIVISOR = 4


class Pressed(NamedTuple):
    """Hold a run that has to make room, since when and in what way."""

    run: Run
    since_s: float
    can_checkpoint: bool
    is_throttle_enough: bool


def choose_victims(
    state: PlacementState,
    job: Job,
    size: Size,
    taken: frozenset[int],
) -> list[Run]:
    """Choose the runs on one worker that make room with the least waste."""
    best: list[Run] = []
    best_cost: tuple[int, int] | None = None
    for worker in state.workers.values():
        victims = _get_victims(state, worker, job, size, taken)
        cost = (_count_stops(state, victims), len(victims))
        if victims and (best_cost is None or cost < best_cost):
            best, best_cost = victims, cost
    return best


def choose_lowest(state: PlacementState, worker: str) -> Run | None:
    """Choose the run that makes room with the least waste, if two run."""
    runs = [state.runs[token] for token in state.by_worker[worker]]
    if len(runs) < 2:
        return None
    return min(runs, key=lambda run: _get_order(state, run))


def press(
    state: PlacementState,
    victims: Iterable[Run],
    size: Size,
    now_s: float,
) -> Iterator[Pressed]:
    """Begin to press runs out of the way."""
    victims = tuple(victims)
    room = state.free[victims[0].worker]
    for run in victims:
        kept = run.size.millicores // _THROTTLE_DIVISOR
        room = room.plus(Size(run.size.millicores - kept, 0))
    is_enough = size.fits(room)
    for run in victims:
        job = state.jobs[run.job]
        yield Pressed(run, now_s, job.can_checkpoint, is_enough)


def get_action(pressed: Pressed, now_s: float) -> RunAction:
    """Give the mildest means that has not had its time yet."""
    left_s = now_s - pressed.since_s
    if pressed.can_checkpoint:
        if left_s < CHECKPOINT_S:
            return RunAction.checkpoint
        left_s -= CHECKPOINT_S
    if pressed.is_throttle_enough and left_s < THROTTLE_S:
        return RunAction.throttle
    return RunAction.stop


def _get_victims(
    state: PlacementState,
    worker: Worker,
    job: Job,
    size: Size,
    taken: frozenset[int],
) -> list[Run]:
    if worker.status is not WorkerStatus.ready or worker.name in job.failed_on:
        return []
    if not size.fits(worker.room):
        return []
    room = state.free[worker.name]
    victims: list[Run] = []
    runs = [state.runs[token] for token in state.by_worker[worker.name]]
    runs.sort(key=lambda one: _get_order(state, one))
    for run in runs:
        if size.fits(room):
            break
        other = state.jobs[run.job]
        is_lower = _RANKS.index(other.priority) > _RANKS.index(job.priority)
        if is_lower and run.token not in taken:
            victims.append(run)
            room = room.plus(run.size)
    return victims if size.fits(room) else []


def _get_order(state: PlacementState, run: Run) -> tuple[int, bool, int]:
    job = state.jobs[run.job]
    rank = -_RANKS.index(job.priority)
    return (rank, not job.can_checkpoint, -run.token)


def _count_stops(state: PlacementState, victims: list[Run]) -> int:
    return sum(not state.jobs[run.job].can_checkpoint for run in victims)
