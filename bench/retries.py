"""Extra load from retries when some upstreams fail.

Simulates the routing core in virtual time on a fixed list of arrivals.
"""

import heapq
from itertools import count
from random import Random
from typing import Any, NamedTuple
from unittest.mock import patch

from sardinemast.admission import QueuedRequest
from sardinemast.fleet import FleetState, Instance, Pool
from sardinemast.membership import Announcement
from sardinemast.routing import (
    AttemptResult,
    AttemptTable,
    NextStep,
)
from sardinemast.routing._budget import RetryBudget

_UPSTREAMS = 20
_REQUESTS = 10_000
_REQUESTS_PER_S = 400.0
_SERVICE_S = 0.05
_DEADLINE_S = 2.0
_POOL = 'enrolment'


class _Case(NamedTuple):
    name: str
    failing_count: int
    failure_rate: float
    has_budget: bool
    ejects: bool


_CASES = (
    _Case('one fifth fails everything', 4, 1.0, True, True),
    _Case('the same, no budget', 4, 1.0, False, True),
    _Case('the same, none set aside', 4, 1.0, True, False),
    _Case('the same, neither', 4, 1.0, False, False),
    _Case('one fifth fails half', 4, 0.5, True, True),
    _Case('the same, neither', 4, 0.5, False, False),
    _Case('all fail everything', 20, 1.0, True, True),
    _Case('the same, neither', 20, 1.0, False, False),
)


def main() -> None:
    """Print load and success rate of each case."""
    print(f'{_REQUESTS} repeatable requests, {_UPSTREAMS} upstreams')
    for case in _CASES:
        _print_case(case)


def _print_case(case: _Case) -> None:
    attempt_count, good_count = _run(case)
    print(
        f'  {case.name:<28} load x{attempt_count / _REQUESTS:.3f}  '
        f'good answers {good_count / _REQUESTS:.1%}'
    )


def _run(case: _Case) -> tuple[int, int]:
    budget = RetryBudget
    failure_rate_path = 'sardinemast.routing._health._EJECTION_FAILURE_RATE'
    with (
        patch.object(
            budget, 'take', budget.take if case.has_budget else _allow
        ),
        patch(failure_rate_path, 0.5 if case.ejects else 2),
    ):
        return _Simulation(case).run()


def _allow(budget: Any) -> bool:
    return True


class _Simulation:
    def __init__(self, case: _Case) -> None:
        self._case = case
        self._random = Random(5)
        self._table = AttemptTable('rennes', Random(7))
        self._state = FleetState()
        self._state.document = self._state.document._replace(
            pools={_POOL: Pool(_POOL)}
        )
        names = [f'enrol-{number}' for number in range(_UPSTREAMS)]
        self._state.instances = {name: Instance(name, _POOL) for name in names}
        roster = tuple(
            Announcement(name, 1, _POOL, '', 0, 'rennes', f'rack-{number // 4}')
            for number, name in enumerate(names)
        )
        self._failing = set(names[: case.failing_count])
        self._table.replace_roster(roster, 0)
        self._sequence = count()
        self._events: list[tuple[float, int, str, Any]] = []
        self._attempt_count = 0
        self._good_count = 0

    def run(self) -> tuple[int, int]:
        """Return the number of attempts and of successful requests."""
        for number in range(_REQUESTS):
            due_s = number / _REQUESTS_PER_S + _DEADLINE_S
            request = QueuedRequest(number, 'team', _POOL, due_s, True)
            self._schedule(number / _REQUESTS_PER_S, 'try', request)
        while self._events:
            now_s, _, kind, subject = heapq.heappop(self._events)
            if kind == 'try':
                self._start_attempt(subject, now_s)
            else:
                request_id, attempt_result = subject
                self._end_attempt(request_id, attempt_result, now_s)
        return self._attempt_count, self._good_count

    def _schedule(self, at_s: float, kind: str, subject: Any) -> None:
        heapq.heappush(
            self._events, (at_s, next(self._sequence), kind, subject)
        )

    def _start_attempt(self, request: QueuedRequest, now_s: float) -> None:
        if now_s >= request.due_s:
            return
        started = self._table.start(self._state, request, now_s)
        if started is None:
            self._schedule(now_s + 0.005, 'try', request)
            return
        self._attempt_count += 1
        fails = (
            started.upstream.instance in self._failing
            and self._random.random() < self._case.failure_rate
        )
        # Failures are faster than answers, so a failing upstream receives more
        # requests.
        duration_s = (
            0.002 if fails else self._random.expovariate(1 / _SERVICE_S)
        )
        result = AttemptResult.failed if fails else AttemptResult.answered
        self._schedule(now_s + duration_s, 'end', (request.request_id, result))

    def _end_attempt(
        self,
        request_id: int,
        attempt_result: AttemptResult,
        now_s: float,
    ) -> None:
        outcome = self._table.end(request_id, attempt_result, now_s)
        self._good_count += attempt_result is AttemptResult.answered
        if outcome.next_step is NextStep.retry:
            self._schedule(now_s, 'try', outcome.request)
