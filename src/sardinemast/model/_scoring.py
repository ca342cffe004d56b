"""Scoring of a simulated day: value of the jobs done, and fleet cost."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from statistics import fmean
from typing import NamedTuple

from sardinemast.model._workload import Arrival

# Share of its value that a late job earns; it earns nothing once it has taken
# this many times the time allowed.
_LATE_VALUE_SHARE = 0.07
_LOST_FACTOR = 3.0
_INTERVAL_S = 2.0
# The value of a job is partly fixed and partly proportional to its work, up
# to a multiple of the queue's mean.
_FIXED_SHARE = 0.3
_SIZE_FACTOR_MAX = 4.0
_LARGEST_SHARE = 0.1
# Groups with less of the total value than this are left out of the worst.
_MIN_GROUP_SHARE = 0.02


class ScoreWeights(NamedTuple):
    """Hold the weight of each ratio and cost in the score of a day."""

    overall: float = 0.5
    worst_queue: float = 0.25
    worst_team: float = 0.17
    worst_interval: float = 0.08
    worker_second: float = 0.00026
    move: float = 0.00029


class ServedShares(NamedTuple):
    """Hold shares of the number of jobs: done on time, and late but useful.

    ``worst_team`` is the share of the worst team's jobs that were done on time
    or late, ``worst_queue`` that of the worst queue's.
    """

    on_time: float = 1
    late: float = 0
    worst_team: float = 1
    worst_queue: float = 1

    @property
    def total(self) -> float:
        """Return the share of jobs that were of use."""
        return self.on_time + self.late


class DayResults(NamedTuple):
    """Hold the results of a day.

    ``on_time`` is the earned share of the attainable value, ``worst_*`` that
    of the worst group, ``largest_jobs`` that of the jobs with the most work.
    ``served`` counts all jobs, ``owed`` those within the rate of their team.
    ``lost_rack_starts`` counts the starts sent to workers without power,
    ``rack_recovery_s`` is the time until all their tasks were sent elsewhere.
    ``ended_too_late`` is the share of the jobs that ran to their end when they
    were of no use any more.
    """

    on_time: float
    worst_queue: float
    worst_team: float
    worst_interval: float
    largest_jobs: float
    long_running_availability: float
    worker_seconds: float
    moves: int
    lost_core_s: float
    served: ServedShares = ServedShares()
    owed: ServedShares = ServedShares()
    lost_rack_starts: int = 0
    rack_recovery_s: float = 0
    ended_too_late: float = 0
    refusals: int = 0

    def compute_score(self, weights: ScoreWeights) -> float:
        """Return the weighted value earned less the weighted costs."""
        return (
            weights.overall * self.on_time
            + weights.worst_queue * self.worst_queue
            + weights.worst_team * self.worst_team
            + weights.worst_interval * self.worst_interval
            - weights.worker_second * self.worker_seconds
            - weights.move * self.moves
        )


class _JobValue(NamedTuple):
    """Hold the value that a job could earn and the value it earned."""

    arrival: Arrival
    attainable: float
    earned: float


class _GroupValues:
    """Sum attainable and earned value by group."""

    def __init__(self) -> None:
        self._attainable: dict[str, float] = defaultdict(float)
        self._earned: dict[str, float] = defaultdict(float)

    def add_job(self, group: str, value: _JobValue) -> None:
        self.add(group, value.attainable, value.earned)

    def add(self, group: str, attainable: float, earned: float) -> None:
        self._attainable[group] += attainable
        self._earned[group] += earned

    def get_overall_ratio(self) -> float:
        attainable = sum(self._attainable.values())
        return sum(self._earned.values()) / attainable if attainable else 1

    def get_worst_ratio(self) -> float:
        min_attainable = sum(self._attainable.values()) * _MIN_GROUP_SHARE
        ratios = [
            self._earned[group] / attainable
            for group, attainable in self._attainable.items()
            if attainable > min_attainable
        ]
        return min(ratios, default=1)


class DayRecord(NamedTuple):
    """Hold what was recorded during a day.

    ``availability`` holds samples by queue: the share of its long-running
    tasks that serve. ``beyond_rate`` holds the names of the jobs that their
    teams submitted beyond their rates.
    """

    arrivals: tuple[Arrival, ...]
    done_at_s: dict[str, float]
    availability: dict[str, list[float]]
    worker_seconds: float
    moves: int
    lost_core_s: float
    beyond_rate: frozenset[str] = frozenset()
    lost_rack_starts: int = 0
    rack_recovery_s: float = 0
    refusals: int = 0


def score_day(record: DayRecord) -> DayResults:
    """Compute the results of a day from its record."""
    jobs = [one for one in record.arrivals if one.tasks]
    values = list(_iterate_values(jobs, record.done_at_s))
    samples = [
        sample for ratios in record.availability.values() for sample in ratios
    ]
    largest = _find_largest(jobs)
    queues = _GroupValues()
    for value in values:
        queues.add_job(value.arrival.queue.name, value)
    for name, queue_samples in record.availability.items():
        queues.add(f'{name}-lasting', len(queue_samples), sum(queue_samples))
    return DayResults(
        queues.get_overall_ratio(),
        queues.get_worst_ratio(),
        _get_worst_ratio(values, _get_team),
        _get_worst_ratio(values, _get_interval),
        _get_worst_ratio(
            [one for one in values if one.arrival in largest], _get_single_group
        ),
        sum(samples) / len(samples) if samples else 1,
        round(record.worker_seconds, 1),
        record.moves,
        round(record.lost_core_s, 1),
        _count_served(jobs, record.done_at_s),
        _count_served(
            [one for one in jobs if one.name not in record.beyond_rate],
            record.done_at_s,
        ),
        record.lost_rack_starts,
        round(record.rack_recovery_s, 3),
        _get_share(
            values,
            lambda one: (
                not _is_useful(one) and one.arrival.name in record.done_at_s
            ),
        ),
        record.refusals,
    )


def _iterate_values(
    jobs: list[Arrival],
    done_at_s: dict[str, float],
) -> Iterator[_JobValue]:
    means = _get_mean_works(jobs)
    for one in jobs:
        attainable = one.queue.job_value * _get_size_factor(
            one, means[one.queue.name]
        )
        share = _get_earned_share(one, done_at_s.get(one.name))
        yield _JobValue(one, attainable, attainable * share)


def _count_served(
    jobs: list[Arrival], done_at_s: dict[str, float]
) -> ServedShares:
    shares = [_get_earned_share(one, done_at_s.get(one.name)) for one in jobs]
    values = [
        _JobValue(one, 1, float(share > 0))
        for one, share in zip(jobs, shares, strict=True)
    ]
    count = max(len(jobs), 1)
    return ServedShares(
        shares.count(1) / count,
        shares.count(_LATE_VALUE_SHARE) / count,
        _get_worst_ratio(values, _get_team),
        _get_worst_ratio(values, _get_queue),
    )


def _find_largest(jobs: list[Arrival]) -> list[Arrival]:
    by_work = sorted(jobs, key=_get_work)
    return by_work[int(len(by_work) * (1 - _LARGEST_SHARE)) :]


def _get_worst_ratio(
    values: list[_JobValue],
    get_group: Callable[[Arrival], str],
) -> float:
    groups = _GroupValues()
    for value in values:
        groups.add_job(get_group(value.arrival), value)
    return groups.get_worst_ratio()


def _is_useful(value: _JobValue) -> bool:
    return value.earned > 0


def _get_share(
    values: list[_JobValue], is_counted: Callable[[_JobValue], bool]
) -> float:
    return fmean(map(is_counted, values))


def _get_work(arrival: Arrival) -> float:
    return arrival.work_core_s


def _get_team(arrival: Arrival) -> str:
    return arrival.team


def _get_queue(arrival: Arrival) -> str:
    return arrival.queue.name


def _get_interval(arrival: Arrival) -> str:
    return str(int(arrival.at_s // _INTERVAL_S))


def _get_single_group(arrival: Arrival) -> str:
    return ''


def _get_mean_works(jobs: list[Arrival]) -> dict[str, float]:
    works: dict[str, list[float]] = defaultdict(list)
    for one in jobs:
        works[one.queue.name].append(one.work_core_s)
    return {
        name: sum(queue_works) / len(queue_works)
        for name, queue_works in works.items()
    }


def _get_size_factor(arrival: Arrival, mean_core_s: float) -> float:
    factor = min(arrival.work_core_s / mean_core_s, _SIZE_FACTOR_MAX)
    return _FIXED_SHARE + (1 - _FIXED_SHARE) * factor


def _get_earned_share(arrival: Arrival, done_at_s: float | None) -> float:
    if done_at_s is None:
        return 0
    duration_s = done_at_s - arrival.at_s
    if duration_s <= arrival.allowed_s:
        return 1
    return (
        _LATE_VALUE_SHARE
        if duration_s <= _LOST_FACTOR * arrival.allowed_s
        else 0
    )
