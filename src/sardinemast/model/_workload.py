"""Workload of a day: random job arrivals, their sizes and estimates."""

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
from sardinemast.model._arrival_times import draw_times
from sardinemast.model._bursts import LoadBurst, draw_bursts

STANDBY_POOL = 'standby'
_MS = 1000
_MIB = 1024 * 1024
# A few teams submit most of the jobs.
_TEAM_WEIGHTS = (10, 6, 3, 2, 1, 1)
_MAX_TO_MEAN = 3.0
_CALL_TIMEOUT_MS = 3000
_BEST_EFFORT_MIB = 512
_DEFAULT_TASK_MIB = 512
# Share of its pool's cores that a step is assumed to get at once.
_STEP_POOL_SHARE = 0.25


class Disruption(StrEnum):
    """List the disruptions that can happen once in a day."""

    wave = 'wave'
    leader_lost = 'leader lost'
    control_restarted = 'control restarted'
    rack_power_lost = 'rack power lost'
    workers_unreachable = 'workers unreachable'
    workers_slow = 'workers slow'
    workers_failing = 'workers failing'
    peaking_rack_lost = 'peaking rack lost'


class Distribution(NamedTuple):
    """Describe a truncated log-normal distribution."""

    mean: float
    variation_coefficient: float = 0

    def draw(self, rng: Random) -> float:
        """Return a random value of at most ``_MAX_TO_MEAN`` times the mean."""
        sigma = math.sqrt(math.log(1 + self.variation_coefficient**2))
        drawn = rng.lognormvariate(math.log(self.mean) - sigma**2 / 2, sigma)
        return min(drawn, self.mean * _MAX_TO_MEAN)


class QueuePattern(NamedTuple):
    """Describe the jobs submitted to a queue, and the pool that runs them.

    ``jobs_per_s`` is the mean over a cycle of peaks. Two fields are
    coefficients of variation: ``estimate_variation`` of the declared around
    the mean duration of a step's tasks, ``duration_variation`` of the tasks
    around that mean. Of the tasks, ``tail_share`` take ``tail_factor`` times as
    long. The pool starts with ``worker_count`` workers. It also
    runs ``long_running_count`` tasks, of which
    ``long_running_max_unavailable`` may be unavailable, and
    ``best_effort_count`` best-effort tasks.
    """

    name: str
    jobs_per_s: float
    task_duration_s: Distribution
    step_count: Distribution
    task_count: Distribution
    task_cores: Distribution
    job_value: float = 1
    target_ms: int = 600
    stretch: float = 1.6
    duration_variation: float = 0.3
    estimate_variation: float = 0.5
    failure_rate: float = 0.002
    long_running_count: int = 5
    long_running_cores: float = 1.4
    long_running_max_unavailable: int = 1
    best_effort_count: int = 2
    task_memory_mib: Distribution = Distribution(_DEFAULT_TASK_MIB)
    long_running_memory_mib: int = 8192
    worker_count: int = 8
    tail_share: float = 0
    tail_factor: float = 7
    priority: int = 0

    @property
    def pool(self) -> str:
        """Return the name of the pool that runs the queue's jobs."""
        return f'{self.name}-pool'


class DayPattern(NamedTuple):
    """Describe the workload of a day and the fleet that runs it.

    The queues peak one after another, in the given order and over again: a
    peak of ``peak_duration_s`` starts each ``peak_interval_s``. Between its
    peaks a queue receives ``off_peak_ratio`` of its mean rate. Square peaks
    have a constant rate, others rise and fall as a raised cosine.

    Teams submit jobs in proportion to ``team_weights``, by default those of
    six teams. Each is owed ``team_rate_factor`` times its weight in jobs per
    second; 0 is no limit. With ``has_random_bursts``, one to three teams and a
    queue get a multiple of their usual load for some seconds.
    """

    queues: tuple[QueuePattern, ...]
    duration_s: float = 34.0
    peak_interval_s: float = 9.0
    peak_duration_s: float = 10.0
    off_peak_ratio: float = 0.05
    has_square_peaks: bool = False
    standby_count: int = 8
    workers_per_rack: int = 4
    worker_cores: int = 16
    worker_memory_mib: int = 65_536
    move_duration_s: float = 1.5
    maintenance_duration_s: float = 2.0
    disruptions: frozenset[Disruption] = frozenset()
    team_weights: tuple[float, ...] = ()
    team_rate_factor: float = 0
    bursts: tuple[LoadBurst, ...] = ()
    has_random_bursts: bool = False


class ActualTask(NamedTuple):
    """Hold the actual duration and result of a task."""

    run_duration_s: float
    fails: bool = False


class Arrival(NamedTuple):
    """Hold a job to be submitted, and the actual behaviour of its tasks.

    The job is on time if done within ``allowed_s``. ``tasks`` is empty for
    jobs of long-running tasks.
    """

    at_s: float
    name: str
    queue: QueuePattern
    team: str
    request: JobRequest
    tasks: tuple[tuple[ActualTask, ...], ...]
    allowed_s: float
    work_core_s: float


def make_catalog(day: DayPattern) -> Catalog:
    """Return the catalog of the day's queues, pools and teams."""
    queues = tuple(
        Queue(
            queue.name,
            'host',
            f'/{queue.name}/',
            queue.pool,
            timeout_ms=_CALL_TIMEOUT_MS,
            target_ms=queue.target_ms,
            priority=queue.priority,
            max_attempts=3,
            stretch=queue.stretch,
        )
        for queue in day.queues
    )
    pools = [Pool(queue.pool) for queue in day.queues]
    standby = Pool(STANDBY_POOL, is_standby=True)
    teams = tuple(
        Team(
            f'team-{index}',
            weight=weight,
            jobs_per_s=weight * day.team_rate_factor,
        )
        for index, weight in enumerate(day.team_weights or _TEAM_WEIGHTS)
    )
    return Catalog(1, queues, (*pools, standby), teams)


def draw_peak_offset_s(day: DayPattern, rng: Random) -> float:
    """Return a random time at which a peak of the first queue starts."""
    return rng.uniform(0, day.peak_interval_s * len(day.queues))


def draw_arrivals(
    day: DayPattern,
    offset_s: float,
    rng: Random,
) -> list[Arrival]:
    """Return random arrivals of a day in the order of their time.

    A peak of the first queue starts at ``offset_s``.
    """
    peaks_at_s = {
        queue.name: offset_s + index * day.peak_interval_s
        for index, queue in enumerate(day.queues)
    }
    drawn = [
        arrival
        for queue in day.queues
        for arrival in _draw_queue(day, queue, peaks_at_s[queue.name], rng)
    ]
    for number, burst in enumerate(_list_bursts(day, rng)):
        drawn.extend(_draw_extra(day, burst, f'burst{number}', peaks_at_s, rng))
    return sorted(drawn)


def _list_bursts(day: DayPattern, rng: Random) -> list[LoadBurst]:
    bursts = list(day.bursts)
    if day.has_random_bursts:
        bursts.extend(draw_bursts(day, day.team_weights, rng))
    return bursts


def _draw_queue(
    day: DayPattern,
    queue: QueuePattern,
    peak_at_s: float,
    rng: Random,
) -> Iterator[Arrival]:
    if queue.long_running_count:
        yield _make_long_running(day, queue, rng)
    for number, at_s in enumerate(
        draw_times(day, queue, peak_at_s, rng), start=1
    ):
        yield _draw_job(day, queue, f'{queue.name}-{number}', at_s, rng)


def _draw_extra(
    day: DayPattern,
    burst: LoadBurst,
    name: str,
    peaks_at_s: dict[str, float],
    rng: Random,
) -> Iterator[Arrival]:
    """Yield the jobs that a burst adds to the usual load."""
    for queue in day.queues:
        if burst.queue and burst.queue != queue.name:
            continue
        times = draw_times(
            day,
            queue,
            peaks_at_s[queue.name],
            rng,
            period=burst.period,
            scale=_get_extra_scale(day, burst),
        )
        for number, at_s in enumerate(times, start=1):
            job_name = f'{queue.name}-{name}-{number}'
            job = _draw_job(day, queue, job_name, at_s, rng)
            if burst.team is not None:
                job = job._replace(team=f'team-{burst.team}')
            yield job


def _get_extra_scale(day: DayPattern, burst: LoadBurst) -> float:
    if burst.team is None:
        return burst.factor - 1
    weights = day.team_weights or _TEAM_WEIGHTS
    return (burst.factor - 1) * weights[burst.team] / sum(weights)


class _DrawnStep(NamedTuple):
    """Hold a step as declared, and the actual behaviour of its tasks."""

    step: Step
    tasks: tuple[ActualTask, ...]

    def get_duration_s(self, millicores: float) -> float:
        """Return the duration on so many millicores.

        A step that needs more runs its tasks in several rounds.
        """
        longest_s = max(task.run_duration_s for task in self.tasks)
        needed = self.step.task_count * self.step.size.millicores
        return longest_s * math.ceil(needed / millicores)

    @property
    def work_core_s(self) -> float:
        """Return the core seconds of all tasks."""
        total_s = sum(task.run_duration_s for task in self.tasks)
        return total_s * self.step.size.millicores / _MS


def _draw_job(
    day: DayPattern,
    queue: QueuePattern,
    name: str,
    at_s: float,
    rng: Random,
) -> Arrival:
    count = _round_to_positive(queue.step_count.draw(rng))
    drawn = [_draw_step(queue, index, rng) for index in range(count)]
    millicores = day.worker_cores * queue.worker_count * _STEP_POOL_SHARE * _MS
    critical_path_s = sum(one.get_duration_s(millicores) for one in drawn)
    return Arrival(
        at_s,
        name,
        queue,
        _draw_team(day, rng),
        JobRequest('spec', tuple(one.step for one in drawn)),
        tuple(one.tasks for one in drawn),
        queue.stretch * critical_path_s + queue.target_ms / _MS,
        sum(one.work_core_s for one in drawn),
    )


def _draw_step(queue: QueuePattern, index: int, rng: Random) -> _DrawnStep:
    count = _round_to_positive(queue.task_count.draw(rng))
    millicores = int(queue.task_cores.draw(rng) * _MS)
    mean_s = queue.task_duration_s.draw(rng)
    declared_s = mean_s * Distribution(1, queue.estimate_variation).draw(rng)
    duration_factor = Distribution(1, queue.duration_variation)
    step = Step(
        count,
        Size(max(millicores, 1), int(queue.task_memory_mib.draw(rng)) * _MIB),
        estimate_ms=max(int(declared_s * _MS), 1),
        depends_on=(index - 1,) if index else (),
        image=queue.name,
    )
    tasks = tuple(
        ActualTask(
            mean_s * duration_factor.draw(rng) * _draw_tail(queue, rng),
            rng.random() < queue.failure_rate,
        )
        for _ in range(count)
    )
    return _DrawnStep(step, tasks)


def _draw_tail(queue: QueuePattern, rng: Random) -> float:
    # Days without tails draw nothing, so that their jobs stay the same.
    if queue.tail_share and rng.random() < queue.tail_share:
        return queue.tail_factor
    return 1


def _make_long_running(
    day: DayPattern, queue: QueuePattern, rng: Random
) -> Arrival:
    serving = Step(
        queue.long_running_count,
        Size(
            int(queue.long_running_cores * _MS),
            queue.long_running_memory_mib * _MIB,
        ),
        is_long_running=True,
        max_unavailable=queue.long_running_max_unavailable,
        tail_latency_limit_ms=100,
        image=f'{queue.name}-serving',
    )
    best_effort = Step(
        queue.best_effort_count,
        Size(int(queue.long_running_cores * _MS), _BEST_EFFORT_MIB * _MIB),
        is_long_running=True,
        is_best_effort=True,
        image=f'{queue.name}-filler',
    )
    steps = (serving, best_effort) if queue.best_effort_count else (serving,)
    name = f'{queue.name}-lasting'
    request = JobRequest('spec', steps)
    team = _draw_team(day, rng)
    return Arrival(-1, name, queue, team, request, (), 0, 0)


def _draw_team(day: DayPattern, rng: Random) -> str:
    weights = day.team_weights or _TEAM_WEIGHTS
    return f'team-{rng.choices(range(len(weights)), weights)[0]}'


def _round_to_positive(number: float) -> int:
    return max(round(number), 1)
