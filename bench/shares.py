"""Distance of received shares from weighted max-min shares in a full pool.

Teams demand in turns five times their mean and then a twentieth, unevenly over
the entries. In each step a team is due its weighted max-min share of the pool,
by its requests waiting and running. The distance over a window is the
difference between received and due slot seconds, relative to those due. A
first-come queue on the same arrivals is measured too. The same is measured for
tasks at the dispatcher.
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

from bench import _team_shares
from bench._cores import CoreSimulation, RequestSpec
from sardinemast.fleet import FleetDocument, Pool, Team
from sardinemast.max_min import split_max_min

ENTRIES = 9
SLOTS = 64
SERVICE_S = 0.4
START_S = 3.0
END_S = 123.0
STEP_S = 0.1
POOL = 'pool'
DEADLINE_S = 8.0
# Share, and mean demand relative to the pool.
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


_SecondsByStep = defaultdict[tuple[str, int], float]


class Served(NamedTuple):
    """Hold the times of a request that ran or was refused."""

    team: str
    at_s: float
    started_s: float
    ended_s: float


def main() -> None:
    """Print the distances over windows of 1 s and 60 s."""
    requests = _generate_requests()
    fair = _simulate_fair(requests)
    refused = sum(one.ended_s == one.started_s for one in fair)
    sys.stdout.write(
        f'requests {len(requests)}, refused {refused}, '
        f'most running {_count_max_running(fair)} of {SLOTS} slots\n'
        'order        window_s  mean  worst team  use\n',
    )
    _print('fair', fair)
    _print('first come', _simulate_first_come(requests))
    _team_shares.main()


def _simulate_fair(requests: list[RequestSpec]) -> list[Served]:
    teams = {
        name: Team(name, share, LIMIT) for name, (share, _) in TEAMS.items()
    }
    document = FleetDocument({}, {POOL: Pool(POOL)}, teams, {})
    simulation = CoreSimulation(document, ENTRIES, upstreams=8)
    simulation.run(requests, END_S)
    served = [
        Served(run.request.team, run.request.at_s, run.started_s, run.ended_s)
        for run in simulation.runs
    ]
    served += [
        Served(request.team, request.at_s, at_s, at_s)
        for request, at_s, _ in simulation.refusals
    ]
    return served


def _generate_requests() -> list[RequestSpec]:
    random = Random(7)
    requests: list[RequestSpec] = []
    for team_index, team in enumerate(TEAMS):
        weights = [random.random() ** 3 for _ in range(ENTRIES)]
        for at_s in _generate_arrival_times(random, team_index, TEAMS[team][1]):
            run_s = random.expovariate(1 / SERVICE_S)
            entry_index = random.choices(range(ENTRIES), weights)[0]
            requests.append(
                RequestSpec(at_s, entry_index, team, POOL, run_s, DEADLINE_S)
            )
    return sorted(requests)


def _generate_arrival_times(
    random: Random,
    team_index: int,
    mean: float,
) -> Iterator[float]:
    at_s = START_S
    while at_s < END_S:
        rate = _get_demand_factor(team_index, at_s) * mean * SLOTS / SERVICE_S
        at_s += random.expovariate(rate)
        yield at_s


def _get_demand_factor(team_index: int, at_s: float) -> float:
    """Return the demand relative to the team's mean."""
    peak_index = int(at_s / PEAK_S) % len(TEAMS)
    if peak_index == team_index:
        return 5
    is_busy = (
        peak_index == (team_index + 1) % len(TEAMS)
        or peak_index % 2 == team_index % 2
    )
    return 1.6 if is_busy else 0.05


def _simulate_first_come(requests: list[RequestSpec]) -> list[Served]:
    free_s: list[float] = [0 for _ in range(SLOTS)]
    served: list[Served] = []
    for request in requests:
        started_s = max(request.at_s, free_s[0])
        deadline_s = request.at_s + request.deadline_s
        if started_s > deadline_s:
            served.append(
                Served(request.team, request.at_s, deadline_s, deadline_s)
            )
            continue
        ended_s = started_s + request.service_s
        heapq.heapreplace(free_s, ended_s)
        served.append(Served(request.team, request.at_s, started_s, ended_s))
    return served


def _print(name: str, served: list[Served]) -> None:
    received, due = _compute_shares(served)
    usage = sum(received.values()) / sum(due.values())
    for window_s in (1, 60):
        distances = _measure_distances(received, due, window_s)
        worst = max(distances.values())
        mean = sum(distances.values()) / len(distances)
        sys.stdout.write(
            f'{name:12} {window_s:8} {mean:6.1%} {worst:8.1%} {usage:8.1%}\n',
        )


def _compute_shares(
    served: list[Served],
) -> tuple[_SecondsByStep, _SecondsByStep]:
    received: _SecondsByStep = defaultdict(float)
    demand: _SecondsByStep = defaultdict(float)
    for one in served:
        _add_interval(received, one.team, one.started_s, one.ended_s)
        _add_interval(demand, one.team, one.at_s, one.ended_s)
    due: _SecondsByStep = defaultdict(float)
    for step in range(int(START_S / STEP_S), int(END_S / STEP_S)):
        due.update(_get_due(demand, step))
    return received, due


def _get_due(demand: _SecondsByStep, step: int) -> _SecondsByStep:
    shares = {team: float(share) for team, (share, _) in TEAMS.items()}
    demands = {team: demand[team, step] for team in TEAMS}
    allotments = split_max_min(SLOTS * STEP_S, demands, shares)
    return defaultdict(
        float, {(team, step): allotted for team, allotted in allotments.items()}
    )


def _add_interval(
    seconds: _SecondsByStep,
    team: str,
    start_s: float,
    end_s: float,
) -> None:
    last = int(min(end_s, END_S) / STEP_S)
    for step in range(int(start_s / STEP_S), last + 1):
        from_s = max(start_s, step * STEP_S)
        seconds[team, step] += min(end_s, (step + 1) * STEP_S) - from_s


def _measure_distances(
    received: _SecondsByStep,
    due: _SecondsByStep,
    window_s: int,
) -> dict[str, float]:
    distances: dict[str, list[float]] = defaultdict(list)
    for window, team in product(_get_windows(window_s), TEAMS):
        due_s = sum(due[team, step] for step in window)
        if due_s > window_s / 2:
            received_s = sum(received[team, step] for step in window)
            distances[team].append(abs(received_s - due_s) / due_s)
    return {name: fmean(values) for name, values in distances.items()}


def _get_windows(window_s: int) -> list[range]:
    steps = round(window_s / STEP_S)
    starts = range(int(START_S / STEP_S), int(END_S / STEP_S), steps)
    return [range(start, start + steps) for start in starts]


def _count_max_running(served: list[Served]) -> int:
    changes = sorted(
        event
        for one in served
        if one.ended_s > one.started_s
        for event in ((one.started_s, 1), (one.ended_s, -1))
    )
    return max(accumulate(change for _, change in changes))
