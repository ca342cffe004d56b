"""Extra load from retries when a fifth of the upstreams fail.

Drives the routing core in virtual time from a declared list of arrivals.
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
_PER_S = 400.0
_SERVICE_S = 0.05
_DEADLINE_S = 2.0
_POOL = 'enrolment'


class _Case(NamedTuple):
    name: str
    failing: int
    failure_share: float
    has_budget: bool
    sets_aside: bool


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
    """Print load and outcome of each case."""
    print(f'{_REQUESTS} repeatable requests, {_UPSTREAMS} upstreams')
    for case in _CASES:
        _print_case(case)


def _print_case(case: _Case) -> None:
    sent, good = _run(case)
    print(
        f'  {case.name:<28} load x{sent / _REQUESTS:.3f}  '
        f'good answers {good / _REQUESTS:.1%}'
    )


def _run(case: _Case) -> tuple[int, int]:
    budget = RetryBudget
    aside = 'sardinemast.routing._health._EJECTION_FAILURE_RATE'
    with (
        patch.object(
            budget, 'take', budget.take if case.has_budget else _allow
        ),
        patch(aside, 0.5 if case.sets_aside else 2),
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
        self._failing = set(names[: case.failing])
        self._table.replace_roster(roster, 0)
        self._order = count()
        self._events: list[tuple[float, int, str, Any]] = []
        self._sent = 0
        self._good = 0

    def run(self) -> tuple[int, int]:
        """Give how many were sent, and how many got a good answer."""
        for number in range(_REQUESTS):
            due_s = number / _PER_S + _DEADLINE_S
            request = QueuedRequest(number, 'team', _POOL, due_s, True)
            self._put(number / _PER_S, 'try', request)
        while self._events:
            now_s, _, kind, subject = heapq.heappop(self._events)
            if kind == 'try':
                self._try(subject, now_s)
            else:
                request_id, attempt_result = subject
                self._end(request_id, attempt_result, now_s)
        return self._sent, self._good

    def _put(self, at_s: float, kind: str, subject: Any) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), kind, subject))

    def _try(self, request: QueuedRequest, now_s: float) -> None:
        if now_s >= request.due_s:
            return
        started = self._table.start(self._state, request, now_s)
        if started is None:
            self._put(now_s + 0.005, 'try', request)
            return
        self._sent += 1
        fails = (
            started.upstream.instance in self._failing
            and self._random.random() < self._case.failure_share
        )
        # An upstream that fails everything does it faster than the others
        # answer, and so draws more requests.
        taken_s = 0.002 if fails else self._random.expovariate(1 / _SERVICE_S)
        answered = AttemptResult.failed if fails else AttemptResult.answered
        self._put(now_s + taken_s, 'end', (request.request_id, answered))

    def _end(
        self,
        request_id: int,
        attempt_result: AttemptResult,
        now_s: float,
    ) -> None:
        outcome = self._table.end(request_id, attempt_result, now_s)
        self._good += attempt_result is AttemptResult.answered
        if outcome.next_step is NextStep.retry:
            self._put(now_s, 'try', outcome.request)
