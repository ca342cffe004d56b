"""Use of small limits over nine entries under steady demand.

Compared in one run: grants that follow demand, a static split of the limit,
and asking the leader for each request (a hop to ask, a hop to answer, a hop
to give back, nothing written).
"""

import sys
from random import Random

from bench._cores import HOP_S, Call, Load
from sardinemast.fleet import FleetDocument, Pool, Team

ENTRIES = 9
LIMITS = (1, 3, 30)
START_S = 3.0
END_S = 33.0
MEASURED_FROM_S = 5.0
TEAM = 'team'
POOL = 'pool'


def main() -> None:
    """Print the use of each limit, and what it costs the log."""
    sys.stdout.write(
        'limit service_s load  grants static  asking  appends/s\n',
    )
    for limit in LIMITS:
        for service_s in (0.02, 0.2):
            for load in (1.5, 0.5):
                _compare(limit, service_s, load)


def _compare(limit: int, service_s: float, load: float) -> None:
    calls = _declare(limit, service_s, load)
    driven = Load(_make_document(limit), ENTRIES, upstreams=8)
    driven.run(calls, END_S)
    appended = driven.appends / (END_S - START_S)
    intervals = [(run.started_s, run.ended_s) for run in driven.runs]
    possible = min(1, load) * limit
    use = _get_use(intervals) / possible
    static = _use_static(calls, limit) / possible
    asking = _use_queue(calls, limit, 3 * HOP_S) / possible
    sys.stdout.write(
        f'{limit:5} {service_s:9} {load:4} {use:7.1%} {static:6.1%} '
        f'{asking:7.1%} {appended:9.1f}\n',
    )


def _declare(limit: int, service_s: float, load: float) -> list[Call]:
    random = Random(5)
    calls: list[Call] = []
    at_s = START_S
    while at_s < END_S:
        at_s += random.expovariate(load * limit / service_s)
        run_s = random.uniform(0.5, 1.5) * service_s
        number = random.randrange(ENTRIES)
        calls.append(Call(at_s, number, TEAM, POOL, run_s, 4))
    return calls


def _make_document(limit: int) -> FleetDocument:
    return FleetDocument(
        {},
        {POOL: Pool(POOL, slots=64)},
        {TEAM: Team(TEAM, 1, limit)},
        {},
    )


def _get_use(intervals: list[tuple[float, float]]) -> float:
    inside = (
        max(0, min(ended_s, END_S) - max(started_s, MEASURED_FROM_S))
        for started_s, ended_s in intervals
    )
    return sum(inside) / (END_S - MEASURED_FROM_S)


def _use_static(calls: list[Call], limit: int) -> float:
    each, rest = divmod(limit, ENTRIES)
    return sum(
        _use_queue(
            [call for call in calls if call.entry == number],
            each + (number < rest),
            0,
        )
        for number in range(ENTRIES)
    )


def _use_queue(calls: list[Call], places: int, gap_s: float) -> float:
    free_s: list[float] = [0 for _ in range(places)]
    intervals: list[tuple[float, float]] = []
    for call in calls:
        if not free_s:
            return 0
        place = min(range(places), key=free_s.__getitem__)
        started_s = max(call.at_s, free_s[place])
        if started_s <= call.at_s + call.deadline_s:
            free_s[place] = started_s + call.service_s + gap_s
            intervals.append((started_s, started_s + call.service_s))
    return _get_use(intervals)
