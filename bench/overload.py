"""Goodput and on-time share from half to five times the pool's capacity.

Compares with a first-come queue on the same arrivals, which refuses nothing
early and runs requests whose caller has given up.
"""

import heapq
import sys
import time
from random import Random

from bench._cores import CoreSimulation, RequestSpec
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
URGENT_SHARE = 0.02


def main() -> None:
    """Print goodput, waits, refusals and the CPU time of the entries."""
    sys.stdout.write(
        'load  goodput/s  on time  urgent p99 s  refused at once  us/request  '
        'first come: goodput/s  on time\n',
    )
    for load in (0.5, 1, 2, 5):
        _compare(load)


def _compare(load: float) -> None:
    requests = _generate_requests(load)
    cpu_started_s = time.process_time()
    simulation = _simulate(requests)
    cpu_us = (time.process_time() - cpu_started_s) * 1e6 / len(requests)
    submitted_count = sum(
        request.at_s >= MEASURED_FROM_S for request in requests
    )
    good_count = sum(
        run.is_answered and run.request.at_s >= MEASURED_FROM_S
        for run in simulation.runs
    )
    refused = _get_refused_share(simulation)
    first_come_count = _simulate_first_come(requests)
    sys.stdout.write(
        f'{load:4} {good_count / MEASURED_S:10.1f} '
        f'{good_count / submitted_count:8.1%} '
        f'{_get_urgent_wait_s(simulation):13.2f} {refused:16.1%} '
        f'{cpu_us:11.0f} {first_come_count / MEASURED_S:22.1f} '
        f'{first_come_count / submitted_count:8.1%}\n',
    )


def _get_refused_share(simulation: CoreSimulation) -> float:
    at_once = sum(
        at_s == request.at_s for request, at_s, _ in simulation.refusals
    )
    return at_once / max(1, len(simulation.refusals))


def _simulate(requests: list[RequestSpec]) -> CoreSimulation:
    teams = {name: Team(name, 1, 2 * SLOTS) for name in TEAMS}
    document = FleetDocument({}, {POOL: Pool(POOL)}, teams, {})
    simulation = CoreSimulation(document, ENTRIES, upstreams=8)
    simulation.run(requests, END_S + DEADLINE_S)
    return simulation


def _generate_requests(load: float) -> list[RequestSpec]:
    random = Random(3)
    requests: list[RequestSpec] = []
    at_s = START_S
    while at_s < END_S:
        at_s += random.expovariate(load * SLOTS / SERVICE_S)
        requests.append(
            RequestSpec(
                at_s,
                random.randrange(ENTRIES),
                random.choice(TEAMS),
                POOL,
                random.expovariate(1 / SERVICE_S),
                DEADLINE_S,
                random.random() < URGENT_SHARE,
            ),
        )
    return requests


def _get_urgent_wait_s(simulation: CoreSimulation) -> float:
    waits_s = sorted(
        run.started_s - run.request.at_s
        for run in simulation.runs
        if run.request.is_urgent and run.request.at_s >= MEASURED_FROM_S
    )
    return waits_s[len(waits_s) * 99 // 100] if waits_s else 0


def _simulate_first_come(requests: list[RequestSpec]) -> int:
    free_s: list[float] = [0 for _ in range(SLOTS)]
    good_count = 0
    for request in requests:
        ended_s = max(request.at_s, free_s[0]) + request.service_s
        heapq.heapreplace(free_s, ended_s)
        is_on_time = ended_s <= request.at_s + request.deadline_s
        good_count += is_on_time and request.at_s >= MEASURED_FROM_S
    return good_count
