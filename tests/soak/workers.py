"""Simulated workers that run tasks by the platform's protocol.

A task's spec sets its duration, CPU and outcome. Faults make workers
unresponsive, late or slow, replace them by a new worker at the same address, or
restart them under the name that they had.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from itertools import count
from random import Random
from typing import Any

from tornado.httputil import HTTPServerRequest

from sardinemast.conf import Address
from sardinemast.platform._http_server import HttpResponse, RequestServer
from soak.ledger import Ledger, read_task

_MS_PER_S = 1000
_UNRESPONSIVE_S = 6.0
_CLOCK_RATES = (0.98, 1.0)
_MAX_LEASE_S = 10.0
# A clock begins anew with a restart, far behind the time that it showed before.
_CLOCK_STARTS_MS = (20_000, 90_000)
_RESTARTED_CLOCK_MS = 1000
LATE_S = (0.5, 4.0)
CAPACITY_MILLICORES = 8000
_Body = dict[str, Any]
Intercept = Callable[['Worker', HTTPServerRequest], Awaitable[None]]


class Incarnation:
    """Store the state of a worker from its start to its crash or stop.

    ``former_fence`` is the highest fence of the polls that earlier boots under
    the same name have answered, and ``polled_fence`` that of all boots so far.
    """

    def __init__(
        self,
        name: str,
        pool: str,
        rate: float,
        clock_ms: int,
        former_fence: int = 0,
    ) -> None:
        self.name = name
        self.former_fence = former_fence
        self.polled_fence = former_fence
        self.pool = pool
        self.born_ms = int(time.time() * _MS_PER_S)
        self.running: dict[str, int] = {}
        self.task_millicores: dict[str, int] = {}
        self.highest_runs: dict[str, int] = {}
        self.unacked_ends: list[list[Any]] = []
        self.end_count = 0
        self.fence = 0
        self.expires_ms: float = 0
        # Ends up to here were not acknowledged before the lease lapsed, so that
        # their tasks may run again.
        self.lapsed_position = 0
        self.is_draining = False
        self.has_ended = False
        self.sequence = count(1)
        self._first_clock_ms = clock_ms
        self._rate = rate
        self._began_s = time.monotonic()

    @property
    def boot(self) -> str:
        """Return a name that no other boot has, for the ledger."""
        return f'{self.name} of {self.born_ms}'

    def check_lapse(self) -> bool:
        """Return whether the lease has expired, and note what it leaves."""
        if self.get_clock_ms() <= self.expires_ms:
            return False
        self.lapsed_position = self.end_count
        return True

    def get_clock_ms(self) -> int:
        """Return the worker's clock, which may run slower than real time."""
        return (
            int((time.monotonic() - self._began_s) * self._rate * _MS_PER_S)
            + self._first_clock_ms
        )


class Worker:
    """Simulate the successive workers of one instance at one address."""

    def __init__(
        self,
        instance: str,
        address: Address,
        ledger: Ledger,
        random: Random,
        make_worker_name: Callable[[], str],
    ) -> None:
        self.instance = instance
        self.rack = f'r-{int(instance[-1]) % 2}'
        self.address = address
        self.incarnation: Incarnation | None = None
        self.is_silent = False
        self.late_share: float = 0
        self.late_s = LATE_S
        self.slowness: float = 1
        # Called with each call before the worker carries it out.
        self.intercepts: list[Intercept] = []
        self._ledger = ledger
        self._random = random
        self._make_worker_name = make_worker_name
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = RequestServer(self._handle)
        self._server.listen(address)

    def begin(self, pool: str) -> None:
        """Start a new worker in a pool; all tasks of the previous one end."""
        self.end()
        self.incarnation = Incarnation(
            self._make_worker_name(),
            pool,
            self._random.uniform(*_CLOCK_RATES),
            self._random.randint(*_CLOCK_STARTS_MS),
        )

    def restart(self) -> None:
        """Crash, and start again under the same name, if there is a worker."""
        former = self.incarnation
        if former is None:
            return
        self.end()
        self.incarnation = Incarnation(
            former.name,
            former.pool,
            self._random.uniform(*_CLOCK_RATES),
            _RESTARTED_CLOCK_MS,
            former.polled_fence,
        )
        self._ledger.log_event('restart', worker=self.incarnation.boot)

    def end(self) -> None:
        """End the current worker, if any, and all its tasks."""
        incarnation = self.incarnation
        self.incarnation = None
        if incarnation is not None:
            incarnation.has_ended = True
            for task in tuple(incarnation.running):
                self._finish(incarnation, task, 'lost')

    async def stop(self) -> None:
        """Stop the server, and cancel running work."""
        self.end()
        for task in self._tasks:
            task.cancel()
        await self._server.stop()

    def get_free_millicores(self, pool: str) -> int:
        """Return the free CPU, 0 unless the worker is healthy and in a pool."""
        incarnation = self.incarnation
        if incarnation is None or incarnation.pool != pool:
            return 0
        is_impaired = self.is_silent or self.late_share or self.slowness > 1
        if is_impaired or incarnation.is_draining:
            return 0
        used = sum(incarnation.task_millicores.values())
        return CAPACITY_MILLICORES - used

    def check_lease(self) -> None:
        """End all tasks if the lease has expired."""
        incarnation = self.incarnation
        if incarnation is not None and incarnation.check_lapse():
            for task in tuple(incarnation.running):
                self._finish(incarnation, task, 'lapsed')

    def describe(self) -> _Body:
        """Return the body of the worker's announcement."""
        incarnation = self.incarnation
        assert incarnation is not None
        return {
            'service': incarnation.pool,
            'addr': f'{self.address.host}:{self.address.port}',
            'zone': 'rennes',
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if incarnation.is_draining else 'ready',
            'cold_left_ms': 0,
            'seq': next(incarnation.sequence),
            'born': incarnation.born_ms,
            'machine': self.instance,
            'labels': ['a', self.rack],
            'capacity': {'cpu': CAPACITY_MILLICORES, 'mem_mb': 8192, 'gpu': 0},
            'wall_ms': incarnation.get_clock_ms(),
        }

    async def _handle(self, request: HTTPServerRequest) -> HttpResponse:
        is_late = self._random.random() < self.late_share
        response: HttpResponse | None = None
        if not self.is_silent:
            for intercept in tuple(self.intercepts):
                await intercept(self, request)
            if is_late:
                await asyncio.sleep(self._random.uniform(*self.late_s))
            response = await self._answer(request, is_late=is_late)
        # A call that was under way when the worker was cut off is carried out.
        if response is None or is_late or self.is_silent:
            await asyncio.sleep(_UNRESPONSIVE_S)
            return HttpResponse(503)
        return response

    async def _answer(
        self, request: HTTPServerRequest, *, is_late: bool
    ) -> HttpResponse | None:
        """Carry out a call; return ``None`` if nobody answers it."""
        incarnation = self.incarnation
        expected = request.headers.get('X-Expect-Instance', '')
        if incarnation is None or expected != incarnation.name:
            return HttpResponse(421)
        body = json.loads(request.body)
        # Left out, because no leader can avoid that the task runs twice: an
        # earlier boot has answered a poll with a higher fence while the start
        # was under way, so that its task was rightly started elsewhere, and a
        # later boot, which has not been polled yet, carries the start out.
        is_start = request.path == '/run-start'
        if is_start and body['fence'] < incarnation.former_fence:
            return None
        if body['fence'] < incarnation.fence:
            return _make_reply(incarnation, 409, reason='fence')
        incarnation.fence = body['fence']
        if request.path == '/hold':
            return await self._answer_poll(incarnation, body, is_late=is_late)
        self._extend_lease(incarnation, body)
        if is_start:
            return self._start(incarnation, body)
        if request.path == '/run-stop':
            self._stop(incarnation, body)
        return _make_reply(incarnation, 200)

    async def _answer_poll(
        self, incarnation: Incarnation, body: _Body, *, is_late: bool
    ) -> HttpResponse | None:
        response = await self._hold(incarnation, body)
        if incarnation.has_ended:
            return None
        if not (is_late or self.is_silent):
            incarnation.polled_fence = max(
                incarnation.polled_fence, body['fence']
            )
        return response

    def _extend_lease(self, incarnation: Incarnation, body: _Body) -> None:
        incarnation.check_lapse()
        asked_ms = body.get('expires_ms', 0)
        longest_ms = incarnation.get_clock_ms() + _MAX_LEASE_S * _MS_PER_S
        incarnation.expires_ms = max(
            incarnation.expires_ms, min(asked_ms, longest_ms)
        )

    def _start(self, incarnation: Incarnation, body: _Body) -> HttpResponse:
        task, run = body['task'], body['run']
        if incarnation.running.get(task) == run:
            return _make_reply(incarnation, 200)
        if run <= incarnation.highest_runs.get(task, 0):
            return _make_reply(incarnation, 409, reason='old')
        if body['expires_ms'] < incarnation.get_clock_ms():
            return _make_reply(incarnation, 409, reason='late')
        duration_ms, millicores, outcome = body['spec'].split(':')
        needed = int(millicores)
        if (
            sum(incarnation.task_millicores.values()) + needed
            > CAPACITY_MILLICORES
        ):
            return _make_reply(incarnation, 409, reason='room')
        incarnation.highest_runs[task] = run
        incarnation.running[task] = run
        incarnation.task_millicores[task] = needed
        self._ledger.note_start(
            incarnation.boot, read_task(task), time.monotonic()
        )
        duration_s = int(duration_ms) / _MS_PER_S
        self._spawn(self._work(incarnation, task, run, duration_s, outcome))
        return _make_reply(incarnation, 200)

    def _stop(self, incarnation: Incarnation, body: _Body) -> None:
        task, run = body['task'], body['run']
        incarnation.highest_runs[task] = max(
            run, incarnation.highest_runs.get(task, 0)
        )
        if incarnation.running.get(task, run + 1) <= run:
            self._finish(incarnation, task, 'stopped')

    async def _hold(
        self, incarnation: Incarnation, body: _Body
    ) -> HttpResponse:
        self._extend_lease(incarnation, body)
        acked_position = body['last_seen']
        for position, task, _, outcome, *_ in incarnation.unacked_ends:
            is_valid = position > incarnation.lapsed_position
            if position <= acked_position and outcome == 'done' and is_valid:
                self._ledger.note_recorded(read_task(task))
        incarnation.unacked_ends = [
            end for end in incarnation.unacked_ends if end[0] > acked_position
        ]
        if not incarnation.unacked_ends:
            await self._wait(incarnation, body.get('wait_ms', 0) / _MS_PER_S)
        return _make_reply(
            incarnation,
            200,
            born=incarnation.born_ms,
            running=[
                [key, run, '', 50] for key, run in incarnation.running.items()
            ],
            finished=incarnation.unacked_ends,
        )

    async def _wait(self, incarnation: Incarnation, longest_s: float) -> None:
        async with self._changed:
            waiting = self._changed.wait_for(
                lambda: bool(incarnation.unacked_ends)
            )
            try:
                await asyncio.wait_for(waiting, longest_s)
            except TimeoutError:
                return

    async def _work(
        self,
        incarnation: Incarnation,
        task: str,
        run: int,
        duration_s: float,
        outcome: str,
    ) -> None:
        left_s = duration_s
        while left_s > 0:
            await asyncio.sleep(min(left_s, 0.1))
            left_s -= 0.1 / self.slowness
        if incarnation.running.get(task) == run and not incarnation.has_ended:
            self._finish(incarnation, task, outcome)

    def _finish(
        self, incarnation: Incarnation, task: str, outcome: str
    ) -> None:
        run = incarnation.running.pop(task)
        incarnation.task_millicores.pop(task)
        key = read_task(task)
        self._ledger.note_end(
            incarnation.boot,
            key,
            is_done=outcome == 'done',
            now_s=time.monotonic(),
        )
        incarnation.end_count += 1
        incarnation.unacked_ends.append(
            [incarnation.end_count, task, run, outcome, '']
        )
        self._spawn(self._notify_changed())

    async def _notify_changed(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _make_reply(
    incarnation: Incarnation, code: int, **fields: Any
) -> HttpResponse:
    body = {'wall_ms': incarnation.get_clock_ms(), **fields}
    return HttpResponse(code, json.dumps(body).encode())
