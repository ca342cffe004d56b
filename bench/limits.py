"""Usage of small limits over nine entries under steady demand.

Compares grants that follow demand with a static split of the limit, and with
asking the leader for each request, which takes three messages and no write.
"""

import sys
from random import Random

from bench._cores import NETWORK_DELAY_S, CoreSimulation, RequestSpec
from sardinemast.fleet import FleetDocument, Pool, Team

ENTRIES = 9
LIMITS = (1, 3, 30)
START_S = 3.0
END_S = 33.0
MEASURED_FROM_S = 5.0
TEAM = 'team'
POOL = 'pool'


def main() -> None:
    """Print the usage of each limit, and log appends per second."""
    sys.stdout.write(
        'limit service_s load  grants static  asking  appends/s\n',
    )
    for limit in LIMITS:
        for service_s in (0.02, 0.2):
            for load in (1.5, 0.5):
                _compare(limit, service_s, load)


def _compare(limit: int, service_s: float, load: float) -> None:
    requests = _generate_requests(limit, service_s, load)
    simulation = CoreSimulation(_make_document(limit), ENTRIES, upstreams=8)
    simulation.run(requests, END_S)
    appends_per_s = simulation.appends / (END_S - START_S)
    intervals = [(run.started_s, run.ended_s) for run in simulation.runs]
    attainable = min(1, load) * limit
    grants_use = _compute_usage(intervals) / attainable
    static_use = _compute_static_usage(requests, limit) / attainable
    asking_use = (
        _compute_queue_usage(requests, limit, 3 * NETWORK_DELAY_S) / attainable
    )
    sys.stdout.write(
        f'{limit:5} {service_s:9} {load:4} {grants_use:7.1%} {static_use:6.1%} '
        f'{asking_use:7.1%} {appends_per_s:9.1f}\n',
    )


def _generate_requests(
    limit: int, service_s: float, load: float
) -> list[RequestSpec]:
    random = Random(5)
    requests: list[RequestSpec] = []
    at_s = START_S
    while at_s < END_S:
        at_s += random.expovariate(load * limit / service_s)
        service_time_s = random.uniform(0.5, 1.5) * service_s
        number = random.randrange(ENTRIES)
        requests.append(
            RequestSpec(at_s, number, TEAM, POOL, service_time_s, 4)
        )
    return requests


def _make_document(limit: int) -> FleetDocument:
    return FleetDocument(
        {},
        {POOL: Pool(POOL, slots=64)},
        {TEAM: Team(TEAM, 1, limit)},
        {},
    )


def _compute_usage(intervals: list[tuple[float, float]]) -> float:
    durations_s = (
        max(0, min(ended_s, END_S) - max(started_s, MEASURED_FROM_S))
        for started_s, ended_s in intervals
    )
    return sum(durations_s) / (END_S - MEASURED_FROM_S)


def _compute_static_usage(requests: list[RequestSpec], limit: int) -> float:
    base_limit, remainder = divmod(limit, ENTRIES)
    return sum(
        _compute_queue_usage(
            [request for request in requests if request.entry == number],
            base_limit + (number < remainder),
            0,
        )
        for number in range(ENTRIES)
    )


def _compute_queue_usage(
    requests: list[RequestSpec], slot_count: int, release_delay_s: float
) -> float:
    free_s: list[float] = [0 for _ in range(slot_count)]
    intervals: list[tuple[float, float]] = []
    for request in requests:
        if not free_s:
            return 0
        slot = min(range(slot_count), key=free_s.__getitem__)
        started_s = max(request.at_s, free_s[slot])
        if started_s <= request.at_s + request.deadline_s:
            free_s[slot] = started_s + request.service_s + release_delay_s
            intervals.append((started_s, started_s + request.service_s))
    return _compute_usage(intervals)
