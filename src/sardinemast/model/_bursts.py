"""Times at which a team or a queue gets a multiple of its usual load."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from sardinemast.model._arrival_times import Period

if TYPE_CHECKING:
    from sardinemast.model._workload import DayPattern

_BURSTING_TEAMS_MAX = 3
_TEAM_FACTORS = (4.0, 7.0)
_TEAM_BURST_S = (5.0, 7.0)
_QUEUE_FACTORS = (1.6, 2.5)
_QUEUE_BURST_S = (3.0, 6.0)


class LoadBurst(NamedTuple):
    """Multiply the load of a team or a queue for some time.

    ``team`` is the position of a team; None is all teams. An empty ``queue``
    is all queues.
    """

    period: Period
    factor: float
    team: int | None = None
    queue: str = ''


def draw_bursts(
    day: DayPattern, team_weights: tuple[float, ...], rng: Random
) -> Iterator[LoadBurst]:
    """Yield the bursts of one to three teams, then that of a queue.

    A team is more likely to be chosen the larger it is: bursts of small teams
    do not fill a pool.
    """
    count = rng.randint(1, _BURSTING_TEAMS_MAX)
    teams = range(len(team_weights))
    chosen = sorted(set(rng.choices(teams, team_weights, k=count)))
    for team in chosen:
        period = _draw_period(day, _TEAM_BURST_S, rng)
        yield LoadBurst(period, rng.uniform(*_TEAM_FACTORS), team)
    queue = rng.choice(day.queues)
    period = _draw_period(day, _QUEUE_BURST_S, rng)
    yield LoadBurst(period, rng.uniform(*_QUEUE_FACTORS), None, queue.name)


def _draw_period(
    day: DayPattern, bounds_s: tuple[float, float], rng: Random
) -> Period:
    duration_s = rng.uniform(*bounds_s)
    start_s = rng.uniform(0, day.duration_s - duration_s)
    return Period(start_s, start_s + duration_s)
