"""Distance of received shares from weighted max-min, in a full pool.

Six teams, two of them large, ask in turns five times their mean and then a
twentieth, unevenly over nine entries. In each window a team is due the
weighted max-min part of the pool by what it had waiting and running at the
start of each tenth of a second; the distance is the difference between that
and what it ran, in parts of what it is due. A first-come queue on the same
arrivals is judged in the same way.
"""

import heapq
import sys
from collections import defaultdict
from collections.abc import Iterator
from itertools import accumulate, product
from random import Random
from statistics import fmean
from types import MappingProxyType
from typing import NamedTuple

from bench._cores import Call, Load
from sardinemast.fleet import FleetDocument, Pool, Team
from sardinemast.grants import split_max_min

ENTRIES = 9
SLOTS = 64
SERVICE_S = 0.4
START_S = 3.0
END_S = 123.0
STEP_S = 0.1
POOL = 'pool'
DEADLINE_S = 8.0
# Share, and mean demand as a part of the pool.
TEAMS = MappingProxyType(
    {
        'large-1': (4, 0.4),
        'large-2': (4, 0.4),
        'small-1': (1, 0.12),
        'small-2': (1, 0.12),
        'small-3': (1, 0.12),
        'small-4': (2, 0.12),
    }
)
LIMIT = 2 * SLOTS
PEAK_S = 10.0


_Seconds = defaultdict[tuple[str, int], float]


class Served(NamedTuple):
    """Hold when a request came, ran and was given up."""

    team: str
    at_s: float
    started_s: float
    ended_s: float


def main() -> None:
    """Print the distances over short and long windows."""
    calls = _declare()
    fair = _serve_fair(calls)
    refused = sum(one.ended_s == one.started_s for one in fair)
    sys.stdout.write(
        f'requests {len(calls)}, refused {refused}, '
        f'most running {_count_most(fair)} of {SLOTS} slots\n'
        'order        window_s  mean  worst team  use\n',
    )
    _print('fair', fair)
    _print('first come', _serve_first_come(calls))


def _serve_fair(calls: list[Call]) -> list[Served]:
    teams = {
        name: Team(name, share, LIMIT) for name, (share, _) in TEAMS.items()
    }
    document = FleetDocument({}, {POOL: Pool(POOL)}, teams, {})
    driven = Load(document, ENTRIES, upstreams=8)
    driven.run(calls, END_S)
    served = [
        Served(run.call.team, run.call.at_s, run.started_s, run.ended_s)
        for run in driven.runs
    ]
    served += [
        Served(call.team, call.at_s, at_s, at_s)
        for call, at_s, _ in driven.refusals
    ]
    return served


def _declare() -> list[Call]:
    random = Random(7)
    calls: list[Call] = []
    for order, team in enumerate(TEAMS):
        weights = [random.random() ** 3 for _ in range(ENTRIES)]
        for at_s in _declare_moments(random, order, TEAMS[team][1]):
            run_s = random.expovariate(1 / SERVICE_S)
            place = random.choices(range(ENTRIES), weights)[0]
            calls.append(Call(at_s, place, team, POOL, run_s, DEADLINE_S))
    return sorted(calls)


def _declare_moments(
    random: Random,
    order: int,
    mean: float,
) -> Iterator[float]:
    at_s = START_S
    while at_s < END_S:
        rate = _get_factor(order, at_s) * mean * SLOTS / SERVICE_S
        at_s += random.expovariate(rate)
        yield at_s


def _get_factor(order: int, at_s: float) -> float:
    """Give the demand in means: a peak in turns, then a twentieth."""
    turn = int(at_s / PEAK_S) % len(TEAMS)
    if turn == order:
        return 5
    is_busy = turn == (order + 1) % len(TEAMS) or turn % 2 == order % 2
    return 1.6 if is_busy else 0.05


def _serve_first_come(calls: list[Call]) -> list[Served]:
    free_s: list[float] = [0 for _ in range(SLOTS)]
    served: list[Served] = []
    for call in calls:
        started_s = max(call.at_s, free_s[0])
        late_s = call.at_s + call.deadline_s
        if started_s > late_s:
            served.append(Served(call.team, call.at_s, late_s, late_s))
            continue
        ended_s = started_s + call.service_s
        heapq.heapreplace(free_s, ended_s)
        served.append(Served(call.team, call.at_s, started_s, ended_s))
    return served


def _print(name: str, served: list[Served]) -> None:
    received, due = _judge(served)
    use = sum(received.values()) / sum(due.values())
    for window_s in (1, 60):
        apart = _compare(received, due, window_s)
        worst = max(apart.values())
        mean = sum(apart.values()) / len(apart)
        sys.stdout.write(
            f'{name:12} {window_s:8} {mean:6.1%} {worst:8.1%} {use:8.1%}\n',
        )


def _judge(served: list[Served]) -> tuple[_Seconds, _Seconds]:
    received: _Seconds = defaultdict(float)
    wanted: _Seconds = defaultdict(float)
    for one in served:
        _spread(received, one.team, one.started_s, one.ended_s)
        _spread(wanted, one.team, one.at_s, one.ended_s)
    due: _Seconds = defaultdict(float)
    for step in range(int(START_S / STEP_S), int(END_S / STEP_S)):
        due.update(_get_due(wanted, step))
    return received, due


def _get_due(wanted: _Seconds, step: int) -> _Seconds:
    shares = {team: float(share) for team, (share, _) in TEAMS.items()}
    needs = {team: wanted[team, step] for team in TEAMS}
    parts = split_max_min(SLOTS * STEP_S, needs, shares)
    return defaultdict(
        float, {(team, step): part for team, part in parts.items()}
    )


def _spread(
    seconds: _Seconds,
    team: str,
    begin_s: float,
    end_s: float,
) -> None:
    last = int(min(end_s, END_S) / STEP_S)
    for step in range(int(begin_s / STEP_S), last + 1):
        from_s = max(begin_s, step * STEP_S)
        seconds[team, step] += min(end_s, (step + 1) * STEP_S) - from_s


def _compare(
    received: _Seconds,
    due: _Seconds,
    window_s: int,
) -> dict[str, float]:
    apart: dict[str, list[float]] = defaultdict(list)
    for window, team in product(_get_windows(window_s), TEAMS):
        fair = sum(due[team, step] for step in window)
        if fair > window_s / 2:
            got = sum(received[team, step] for step in window)
            apart[team].append(abs(got - fair) / fair)
    return {name: fmean(parts) for name, parts in apart.items()}


def _get_windows(window_s: int) -> list[range]:
    steps = round(window_s / STEP_S)
    begins = range(int(START_S / STEP_S), int(END_S / STEP_S), steps)
    return [range(begin, begin + steps) for begin in begins]


def _count_most(served: list[Served]) -> int:
    moments = sorted(
        moment
        for one in served
        if one.ended_s > one.started_s
        for moment in ((one.started_s, 1), (one.ended_s, -1))
    )
    return max(accumulate(change for _, change in moments))
