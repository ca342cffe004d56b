"""Simulated workers that run tasks by the platform's protocol.

A task's spec sets its duration. Faults make workers unresponsive, late or
slow, or replace them by a new worker at the same address.
"""

import asyncio
import json
import time
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

from tornado.httputil import HTTPServerRequest

from sardinemast.conf import Address
from sardinemast.platform._http_server import HttpResponse, RequestServer
from soak.ledger import Ledger, read_task

_MS = 1000
_SILENT_S = 6.0
_LATE_S = (0.5, 4.0)
_CLOCK_RATES = (0.98, 1.0)
_LEASE_MAX_S = 10.0
CORES = 8000
_Body = dict[str, Any]


class Life:
    """Store the state of a worker from its start to its crash or stop."""

    def __init__(self, name: str, pool: str, rate: float) -> None:
        self.name = name
        self.pool = pool
        self.born_ms = int(time.time() * _MS)
        self.running: dict[str, int] = {}
        self.sizes: dict[str, int] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.end_count = 0
        self.fence = 0
        self.expires_ms: float = 0
        self.is_draining = False
        self.has_left = False
        self._rate = rate
        self._began_s = time.monotonic()

    def get_clock_ms(self) -> int:
        """Return the worker's clock, which may run slower than real time."""
        return int((time.monotonic() - self._began_s) * self._rate * _MS) + _MS


class Worker:
    """Simulate the successive workers of one instance at one address."""

    def __init__(
        self,
        instance: str,
        address: Address,
        ledger: Ledger,
        random: Random,
        make_name: Callable[[], str],
    ) -> None:
        self.instance = instance
        self.rack = f'r-{int(instance[-1]) % 2}'
        self.address = address
        self.life: Life | None = None
        self.is_silent = False
        self.late_share: float = 0
        self.slowness: float = 1
        self._ledger = ledger
        self._random = random
        self._make_name = make_name
        self._sequence = count(1)
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = RequestServer(self._handle)
        self._server.listen(address)

    def begin(self, pool: str) -> None:
        """Start a new worker in a pool; all tasks of the previous one end."""
        self.end()
        rate = self._random.uniform(*_CLOCK_RATES)
        self.life = Life(self._make_name(), pool, rate)

    def end(self) -> None:
        """End the current worker, if any, and all its tasks."""
        life = self.life
        self.life = None
        if life is not None:
            life.has_left = True
            for task in tuple(life.running):
                self._finish(life, task, 'lost')

    async def stop(self) -> None:
        """Stop the server, and cancel running work."""
        self.end()
        for task in self._tasks:
            task.cancel()
        await self._server.stop()

    def check_lease(self) -> None:
        """End all tasks if the lease has expired."""
        life = self.life
        if life is not None and life.get_clock_ms() > life.expires_ms:
            for task in tuple(life.running):
                self._finish(life, task, 'lapsed')

    def describe(self) -> _Body:
        """Return the body of the worker's announcement."""
        life = self.life
        assert life is not None
        return {
            'service': life.pool,
            'addr': f'{self.address.host}:{self.address.port}',
            'zone': 'rennes',
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if life.is_draining else 'ready',
            'cold_left_ms': 0,
            'seq': next(self._sequence),
            'born': life.born_ms,
            'machine': self.instance,
            'labels': ['a', self.rack],
            'capacity': {'cpu': CORES, 'mem_mb': 8192, 'gpu': 0},
            'wall_ms': life.get_clock_ms(),
        }

    async def _handle(self, request: HTTPServerRequest) -> HttpResponse:
        if self.is_silent:
            await asyncio.sleep(_SILENT_S)
            return HttpResponse(503)
        if self._random.random() < self.late_share:
            await asyncio.sleep(self._random.uniform(*_LATE_S))
            await self._answer(request)
            await asyncio.sleep(_SILENT_S)
            return HttpResponse(503)
        return await self._answer(request)

    async def _answer(self, request: HTTPServerRequest) -> HttpResponse:
        life = self.life
        expected = request.headers.get('X-Expect-Instance', '')
        if life is None or expected != life.name:
            return HttpResponse(421)
        body = json.loads(request.body)
        if body['fence'] < life.fence:
            return _make_reply(life, 409, reason='fence')
        life.fence = body['fence']
        if request.path == '/hold':
            return await self._hold(life, body)
        self._prolong(life, body)
        if request.path == '/run-start':
            return self._start(life, body)
        if request.path == '/run-stop':
            self._stop(life, body)
        return _make_reply(life, 200)

    def _prolong(self, life: Life, body: _Body) -> None:
        asked_ms = body.get('expires_ms', 0)
        longest_ms = life.get_clock_ms() + _LEASE_MAX_S * _MS
        life.expires_ms = max(life.expires_ms, min(asked_ms, longest_ms))

    def _start(self, life: Life, body: _Body) -> HttpResponse:
        task, run = body['task'], body['run']
        if life.running.get(task) == run:
            return _make_reply(life, 200)
        if run <= life.highest.get(task, 0):
            return _make_reply(life, 409, reason='old')
        if body['expires_ms'] < life.get_clock_ms():
            return _make_reply(life, 409, reason='late')
        duration_ms, millicores = map(int, body['spec'].split(':'))
        if sum(life.sizes.values()) + millicores > CORES:
            return _make_reply(life, 409, reason='room')
        life.highest[task] = run
        life.running[task] = run
        life.sizes[task] = millicores
        self._ledger.note_start(life.name, read_task(task), time.monotonic())
        self._spawn(self._work(life, task, run, duration_ms / _MS))
        return _make_reply(life, 200)

    def _stop(self, life: Life, body: _Body) -> None:
        task, run = body['task'], body['run']
        life.highest[task] = max(run, life.highest.get(task, 0))
        if life.running.get(task, run + 1) <= run:
            self._finish(life, task, 'stopped')

    async def _hold(self, life: Life, body: _Body) -> HttpResponse:
        self._prolong(life, body)
        seen = body['last_seen']
        for position, task, _, how, *_ in life.ended:
            if position <= seen and how == 'done':
                self._ledger.note_recorded(read_task(task))
        life.ended = [one for one in life.ended if one[0] > seen]
        if not life.ended:
            await self._wait(life, body.get('wait_ms', 0) / _MS)
        return _make_reply(
            life,
            200,
            born=life.born_ms,
            running=[[one, run, '', 50] for one, run in life.running.items()],
            finished=life.ended,
        )

    async def _wait(self, life: Life, longest_s: float) -> None:
        async with self._changed:
            waiting = self._changed.wait_for(lambda: bool(life.ended))
            try:
                await asyncio.wait_for(waiting, longest_s)
            except TimeoutError:
                return

    async def _work(
        self, life: Life, task: str, run: int, duration_s: float
    ) -> None:
        left_s = duration_s
        while left_s > 0:
            await asyncio.sleep(min(left_s, 0.1))
            left_s -= 0.1 / self.slowness
        if life.running.get(task) == run and not life.has_left:
            self._finish(life, task, 'done')

    def _finish(self, life: Life, task: str, how: str) -> None:
        run = life.running.pop(task)
        life.sizes.pop(task)
        key = read_task(task)
        self._ledger.note_end(life.name, key, is_done=how == 'done')
        life.end_count += 1
        life.ended.append([life.end_count, task, run, how, ''])
        self._spawn(self._tell())

    async def _tell(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _make_reply(life: Life, code: int, **fields: Any) -> HttpResponse:
    body = {'wall_ms': life.get_clock_ms(), **fields}
    return HttpResponse(code, json.dumps(body).encode())
