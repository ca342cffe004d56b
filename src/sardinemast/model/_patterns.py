"""Demand of a day: which jobs come, how large they are, what they declare."""

import math
from collections.abc import Iterator
from enum import StrEnum
from random import Random
from typing import NamedTuple

from sardinemast.jobs import (
    Catalog,
    JobRequest,
    Pool,
    Queue,
    Size,
    Step,
    Team,
)

STANDBY_POOL = 'standby'
_MS = 1000
_MIB = 1024 * 1024
# A few teams submit most of the jobs.
_TEAM_WEIGHTS = (10, 6, 3, 2, 1, 1)
_LARGEST_FACTOR = 3.0
_CALL_TIMEOUT_MS = 3000
_FILLER_MIB = 512
_SMALL_MIB = 512
# A step that asks for more than this share of its pool may run in waves.
_WIDE_SHARE = 0.25


class Trouble(StrEnum):
    """Name what may happen to a fleet once in a day."""

    wave = 'wave'
    leader_lost = 'leader lost'
    control_restarted = 'control restarted'
    rack_dark = 'rack dark'
    workers_cut = 'workers cut'
    workers_slow = 'workers slow'
    workers_failing = 'workers failing'


class Sizes(NamedTuple):
    """Hold the mean of a quantity, and how much single values spread."""

    mean: float
    spread: float = 0

    def draw(self, rng: Random) -> float:
        """Give a value: lognormal, a few times the mean at most."""
        sigma = math.sqrt(math.log(1 + self.spread**2))
        drawn = rng.lognormvariate(math.log(self.mean) - sigma**2 / 2, sigma)
        return min(drawn, self.mean * _LARGEST_FACTOR)


class QueuePattern(NamedTuple):
    """Describe what a queue's callers submit, and the pool for it.

    ``jobs_per_s`` is the mean over a round of turns. ``declared_off`` spreads
    what callers declare around what a task takes; ``uneven`` spreads the
    tasks of one step. The pool begins with ``workers``. It also runs
    ``lasting`` tasks that serve, of which ``lasting_missing`` may be away,
    and ``fillers`` beside them.
    """

    name: str
    jobs_per_s: float
    run_s: Sizes
    step_count: Sizes
    task_count: Sizes
    cores: Sizes
    worth: float = 1
    target_ms: int = 600
    stretch: float = 1.6
    uneven: float = 0.3
    declared_off: float = 0.5
    failing_share: float = 0.002
    lasting: int = 5
    lasting_cores: float = 1.4
    lasting_missing: int = 1
    fillers: int = 2
    memory_mib: Sizes = Sizes(_SMALL_MIB)
    lasting_mib: int = 8192
    workers: int = 8

    @property
    def pool(self) -> str:
        """Name the pool that runs the queue's jobs."""
        return f'{self.name}-pool'


class DayPattern(NamedTuple):
    """Describe a day: queues that peak in turns, and the fleet for them.

    Each queue's peak lasts ``peak_s`` from rise to end, begins
    ``turn_s`` after that of the queue before, and comes again when all had
    their turn. Between peaks a queue asks for ``rest_share`` of its mean.
    A steep peak asks for the same from its first moment to its last.
    """

    queues: tuple[QueuePattern, ...]
    length_s: float = 34.0
    turn_s: float = 9.0
    peak_s: float = 10.0
    rest_share: float = 0.05
    is_steep: bool = False
    standby: int = 8
    workers_a_rack: int = 4
    worker_cores: int = 16
    worker_memory_mib: int = 65_536
    move_s: float = 1.5
    upkeep_s: float = 2.0
    troubles: frozenset[Trouble] = frozenset()


class TrueTask(NamedTuple):
    """Hold what a task does: how long it works, and whether it fails."""

    run_s: float
    fails: bool = False


class Arrival(NamedTuple):
    """Hold a job on its way in, and what its tasks will truly do.

    ``aim_s`` is how soon it must be done to be in time. ``tasks`` is empty
    for work that does not end by itself.
    """

    at_s: float
    name: str
    queue: QueuePattern
    team: str
    request: JobRequest
    tasks: tuple[tuple[TrueTask, ...], ...]
    aim_s: float
    work_core_s: float


def make_model_catalog(day: DayPattern) -> Catalog:
    """Give the operator's catalog for a day."""
    queues = tuple(
        Queue(
            queue.name,
            'host',
            f'/{queue.name}/',
            queue.pool,
            timeout_ms=_CALL_TIMEOUT_MS,
            target_ms=queue.target_ms,
            max_attempts=3,
            stretch=queue.stretch,
        )
        for queue in day.queues
    )
    pools = [Pool(queue.pool) for queue in day.queues]
    standby = Pool(STANDBY_POOL, is_standby=True)
    teams = tuple(
        Team(f'team-{place}', weight=weight)
        for place, weight in enumerate(_TEAM_WEIGHTS)
    )
    return Catalog(1, queues, (*pools, standby), teams)


def draw_arrivals(day: DayPattern, rng: Random) -> list[Arrival]:
    """Give all jobs of a day, the first one first."""
    round_s = day.turn_s * len(day.queues)
    offset_s = rng.uniform(0, round_s)
    drawn = [
        arrival
        for place, queue in enumerate(day.queues)
        for arrival in _draw_queue(
            day, queue, offset_s + place * day.turn_s, rng
        )
    ]
    return sorted(drawn)


def _draw_queue(
    day: DayPattern,
    queue: QueuePattern,
    peak_at_s: float,
    rng: Random,
) -> Iterator[Arrival]:
    if queue.lasting:
        yield _make_lasting(queue, rng)
    round_s = day.turn_s * len(day.queues)
    # The hump is a raised cosine: its top is twice the mean over its length.
    height = 1 if day.is_steep else 2
    top = height * queue.jobs_per_s * round_s / day.peak_s
    now_s: float = 0
    number = 0
    while True:
        now_s += rng.expovariate(top)
        if now_s >= day.length_s:
            return
        since_s = (now_s - peak_at_s) % round_s
        rate = queue.jobs_per_s * day.rest_share
        if since_s < day.peak_s:
            angle = 2 * math.pi * since_s / day.peak_s
            rate += top if day.is_steep else top * (1 - math.cos(angle)) / 2
        if rng.random() < rate / top:
            number += 1
            yield _draw_job(day, queue, f'{queue.name}-{number}', now_s, rng)


class _DrawnStep(NamedTuple):
    """Hold a step as it is declared, and what its tasks will truly do."""

    step: Step
    tasks: tuple[TrueTask, ...]

    def get_length_s(self, room: float) -> float:
        """Give how long the step takes where it may have so many millicores.

        What asks for more may run in several waves.
        """
        longest_s = max(task.run_s for task in self.tasks)
        asked = self.step.task_count * self.step.size.millicores
        return longest_s * math.ceil(asked / room)

    @property
    def work_core_s(self) -> float:
        """Give the work of all tasks."""
        run_s = sum(task.run_s for task in self.tasks)
        return run_s * self.step.size.millicores / _MS


def _draw_job(
    day: DayPattern,
    queue: QueuePattern,
    name: str,
    at_s: float,
    rng: Random,
) -> Arrival:
    count = _round_up(queue.step_count.draw(rng))
    drawn = [_draw_step(queue, place, rng) for place in range(count)]
    room = day.worker_cores * queue.workers * _WIDE_SHARE * _MS
    chain_s = sum(one.get_length_s(room) for one in drawn)
    return Arrival(
        at_s,
        name,
        queue,
        _draw_team(rng),
        JobRequest('spec', tuple(one.step for one in drawn)),
        tuple(one.tasks for one in drawn),
        queue.stretch * chain_s + queue.target_ms / _MS,
        sum(one.work_core_s for one in drawn),
    )


def _draw_step(queue: QueuePattern, place: int, rng: Random) -> _DrawnStep:
    count = _round_up(queue.task_count.draw(rng))
    millicores = int(queue.cores.draw(rng) * _MS)
    usual_s = queue.run_s.draw(rng)
    declared_s = usual_s * Sizes(1, queue.declared_off).draw(rng)
    uneven = Sizes(1, queue.uneven)
    step = Step(
        count,
        Size(max(millicores, 1), int(queue.memory_mib.draw(rng)) * _MIB),
        estimate_ms=max(int(declared_s * _MS), 1),
        depends_on=(place - 1,) if place else (),
        image=queue.name,
    )
    tasks = tuple(
        TrueTask(
            usual_s * uneven.draw(rng),
            rng.random() < queue.failing_share,
        )
        for _ in range(count)
    )
    return _DrawnStep(step, tasks)


def _make_lasting(queue: QueuePattern, rng: Random) -> Arrival:
    serving = Step(
        queue.lasting,
        Size(int(queue.lasting_cores * _MS), queue.lasting_mib * _MIB),
        is_long_running=True,
        max_unavailable=queue.lasting_missing,
        tail_latency_limit_ms=100,
        image=f'{queue.name}-serving',
    )
    filler = Step(
        queue.fillers,
        Size(int(queue.lasting_cores * _MS), _FILLER_MIB * _MIB),
        is_long_running=True,
        is_best_effort=True,
        image=f'{queue.name}-filler',
    )
    steps = (serving, filler) if queue.fillers else (serving,)
    name = f'{queue.name}-lasting'
    request = JobRequest('spec', steps)
    return Arrival(-1, name, queue, _draw_team(rng), request, (), 0, 0)


def _draw_team(rng: Random) -> str:
    places = range(len(_TEAM_WEIGHTS))
    return f'team-{rng.choices(places, _TEAM_WEIGHTS)[0]}'


def _round_up(number: float) -> int:
    return max(round(number), 1)
