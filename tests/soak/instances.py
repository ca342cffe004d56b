"""Simulate the server that lists, moves and maintains instances."""

import asyncio
import json
import time
from collections.abc import Coroutine
from typing import Any

from tornado.httputil import HTTPServerRequest

from sardinemast.conf import Address
from sardinemast.platform._http_server import HttpResponse, RequestServer
from soak.ledger import Ledger
from soak.workers import Worker

POOL = 'booking'
STANDBY = 'spare'
_MOVE_DURATION_S = 1.0
_MAINTENANCE_DURATION_S = 1.2


class Instances:
    """Carry out instance orders without checking their fencing tokens."""

    def __init__(
        self,
        address: Address,
        workers: dict[str, Worker],
        ledger: Ledger,
    ) -> None:
        self.address = address
        self.pools: dict[str, str] = {}
        self.maintained: dict[int, set[str]] = {}
        self.caps: dict[int, int] = {}
        self._workers = workers
        self._ledger = ledger
        self._busy: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = RequestServer(self._handle)
        self._server.listen(address)

    async def stop(self) -> None:
        """Stop the server, and cancel unfinished orders."""
        for task in self._tasks:
            task.cancel()
        await self._server.stop()

    def put(self, instance: str, pool: str) -> None:
        """Assign an instance to a pool; standby instances run no worker."""
        self.pools[instance] = pool
        if pool == STANDBY:
            self._workers[instance].end()
        else:
            self._workers[instance].begin(pool)

    async def _handle(self, request: HTTPServerRequest) -> HttpResponse:
        if request.path == '/machines':
            return _make_reply(200, machines=self._list())
        body = json.loads(request.body)
        instance = body['machine']
        if instance not in self.pools:
            return HttpResponse(400)
        if request.path == '/machine-upkeep':
            return self._maintain(request, instance, body['wave'])
        return self._move(request, instance, body['pool'])

    def _list(self) -> list[dict[str, Any]]:
        return [
            {
                'machine': instance,
                'pool': pool,
                'state': 'moving' if instance in self._busy else 'up',
                'zone': 'rennes',
            }
            for instance, pool in self.pools.items()
        ]

    def _maintain(
        self,
        request: HTTPServerRequest,
        instance: str,
        wave: int,
    ) -> HttpResponse:
        maintained = self.maintained.get(wave)
        if maintained is None:
            return _make_reply(409, reason='wave')
        if instance in maintained:
            return HttpResponse(200)
        if instance in self._busy:
            return _make_reply(409, reason='busy')
        self._note_order(request, instance)
        maintained.add(instance)
        self._ledger.note_down(wave, instance, self.caps[wave])
        self._spawn(self._restart(instance, _MAINTENANCE_DURATION_S, wave))
        return HttpResponse(200)

    def _move(
        self,
        request: HTTPServerRequest,
        instance: str,
        pool: str,
    ) -> HttpResponse:
        if self.pools[instance] == pool:
            return HttpResponse(200)
        if instance in self._busy:
            return _make_reply(409, reason='busy')
        self._note_order(request, instance)
        self.pools[instance] = pool
        self._spawn(self._restart(instance, _MOVE_DURATION_S))
        return HttpResponse(200)

    def _note_order(self, request: HTTPServerRequest, instance: str) -> None:
        self._ledger.note_order(
            instance,
            request.headers['X-Lease-Holder'],
            int(request.headers['X-Fence-Token']),
            time.monotonic(),
        )

    async def _restart(
        self,
        instance: str,
        duration_s: float,
        wave: int | None = None,
    ) -> None:
        self._busy.add(instance)
        self._workers[instance].end()
        await asyncio.sleep(duration_s)
        self._busy.discard(instance)
        self.put(instance, self.pools[instance])
        if wave is not None:
            self._ledger.note_up(wave, instance)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _make_reply(code: int, **fields: Any) -> HttpResponse:
    return HttpResponse(code, json.dumps(fields).encode())
