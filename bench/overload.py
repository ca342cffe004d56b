"""Goodput and share on time from half to five times the pool's capacity.

Compared with a first-come queue without early refusal on the same arrivals,
in which a request whose caller has given up still takes its slot.
"""

import heapq
import sys
import time
from random import Random

from bench._cores import Call, Load
from sardinemast.fleet import FleetDocument, Pool, Team

ENTRIES = 9
SLOTS = 64
SERVICE_S = 0.4
DEADLINE_S = 4.0
START_S = 3.0
END_S = 33.0
MEASURED_FROM_S = 8.0
MEASURED_S = END_S - MEASURED_FROM_S
POOL = 'pool'
TEAMS = ('team-1', 'team-2', 'team-3')
URGENT_PART = 0.02


def main() -> None:
    """Print what is served in time, and the work of the entries' cores."""
    sys.stdout.write(
        'load  goodput/s  on time  urgent p99 s  refused at once  us/request  '
        'first come: goodput/s  on time\n',
    )
    for load in (0.5, 1, 2, 5):
        _compare(load)


def _compare(load: float) -> None:
    calls = _declare(load)
    began_s = time.process_time()
    driven = _drive(calls)
    spent_us = (time.process_time() - began_s) * 1e6 / len(calls)
    asked = sum(call.at_s >= MEASURED_FROM_S for call in calls)
    good = sum(
        run.is_answered and run.call.at_s >= MEASURED_FROM_S
        for run in driven.runs
    )
    refused = _get_refused_at_once(driven)
    first = _serve_first_come(calls)
    sys.stdout.write(
        f'{load:4} {good / MEASURED_S:10.1f} {good / asked:8.1%} '
        f'{_get_urgent_wait_s(driven):13.2f} {refused:16.1%} '
        f'{spent_us:11.0f} {first / MEASURED_S:22.1f} {first / asked:8.1%}\n',
    )


def _get_refused_at_once(driven: Load) -> float:
    at_once = sum(at_s == call.at_s for call, at_s, _ in driven.refusals)
    return at_once / max(1, len(driven.refusals))


def _drive(calls: list[Call]) -> Load:
    teams = {name: Team(name, 1, 2 * SLOTS) for name in TEAMS}
    document = FleetDocument({}, {POOL: Pool(POOL)}, teams, {})
    driven = Load(document, ENTRIES, upstreams=8)
    driven.run(calls, END_S + DEADLINE_S)
    return driven


def _declare(load: float) -> list[Call]:
    random = Random(3)
    calls: list[Call] = []
    at_s = START_S
    while at_s < END_S:
        at_s += random.expovariate(load * SLOTS / SERVICE_S)
        calls.append(
            Call(
                at_s,
                random.randrange(ENTRIES),
                random.choice(TEAMS),
                POOL,
                random.expovariate(1 / SERVICE_S),
                DEADLINE_S,
                random.random() < URGENT_PART,
            ),
        )
    return calls


def _get_urgent_wait_s(driven: Load) -> float:
    waits = sorted(
        run.started_s - run.call.at_s
        for run in driven.runs
        if run.call.is_urgent and run.call.at_s >= MEASURED_FROM_S
    )
    return waits[len(waits) * 99 // 100] if waits else 0


def _serve_first_come(calls: list[Call]) -> int:
    free_s: list[float] = [0 for _ in range(SLOTS)]
    good = 0
    for call in calls:
        ended_s = max(call.at_s, free_s[0]) + call.service_s
        heapq.heapreplace(free_s, ended_s)
        is_good = ended_s <= call.at_s + call.deadline_s
        good += is_good and call.at_s >= MEASURED_FROM_S
    return good
