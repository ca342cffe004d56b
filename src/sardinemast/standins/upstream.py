"""Stand-in upstream that announces itself and echoes requests."""

import asyncio
import json
import signal
import time
from collections import Counter
from contextlib import suppress
from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from sardinemast.standins._faulty_behaviours import (
    FAULTY_BEHAVIOURS,
    RequestCountsHandler,
)

_ANNOUNCE_INTERVAL_S = 0.5
_DRAIN_GRACE_S = 2.0
_MS_PER_S = 1000
_HOST = '127.0.0.1'


class _Options(NamedTuple):
    name: str
    pool: str
    delay_s: float
    behaviour: str
    announced_port: int
    request_counts: Counter[str]


class _ActiveRequests:
    """Count the requests being handled."""

    def __init__(self) -> None:
        self.count = 0
        self.ended = asyncio.Event()

    async def wait_until_empty(self) -> None:
        """Wait until no request is being handled."""
        while self.count:
            self.ended.clear()
            await self.ended.wait()


class _EchoHandler(RequestHandler):
    def initialize(self, options: _Options, active: _ActiveRequests) -> None:
        self._options = options
        self._active = active

    async def prepare(self) -> None:
        self._active.count += 1
        self._options.request_counts[str(self.request.uri)] += 1
        respond = FAULTY_BEHAVIOURS.get(self._options.behaviour)
        if respond is not None:
            await respond(self)
            return
        if self._options.delay_s:
            await asyncio.sleep(self._options.delay_s)
        self.finish(
            {
                'upstream': self._options.name,
                'pool': self._options.pool,
                'method': self.request.method,
                'uri': self.request.uri,
                'body_bytes': len(self.request.body),
            },
        )

    def on_finish(self) -> None:
        self._active.count -= 1
        self._active.ended.set()


class _Announcer:
    """Announce this upstream to the entries."""

    def __init__(self, fields: dict[str, Any], entries: tuple[str, ...]):
        self._fields = {**fields, 'status': 'serving', 'sequence': 0}
        self._entries = entries
        self._client = AsyncHTTPClient(force_instance=True)

    async def run(self) -> None:
        """Announce to each entry in turn until cancelled."""
        index = 0
        while True:
            await self._announce(self._entries[index % len(self._entries)])
            index += 1
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S)

    async def change_status(self, status: str) -> None:
        """Announce a new status to all entries at once."""
        sequence = self._fields['sequence'] + 1
        self._fields.update(status=status, sequence=sequence)
        await asyncio.gather(*map(self._announce, self._entries))

    async def _announce(self, address: str) -> None:
        # An entry that is down must not stop announcements to the others.
        with suppress(OSError, HTTPError):
            await self._client.fetch(
                f'http://{address}/-/announce',
                method='POST',
                body=json.dumps(self._fields),
                raise_error=False,
                request_timeout=_ANNOUNCE_INTERVAL_S,
            )


def run_upstream(
    name: str,
    pool: str,
    entries: str,
    port: int = 0,
    data_centre: str = 'local',
    rack: str = 'rack-1',
    delay_s: float = 0,
    behaviour: str = 'good',
    announced_port: int = 0,
) -> None:
    """Serve until SIGTERM.

    ``entries`` is a comma-separated list of HOST:PORT. ``announced_port``
    replaces the announced port, for a relay in front of the upstream.
    """
    options = _Options(
        name, pool, delay_s, behaviour, announced_port, Counter()
    )
    asyncio.run(_serve(options, entries, port, (data_centre, rack)))


async def _serve(
    options: _Options,
    entries: str,
    port: int,
    location: tuple[str, str],
) -> None:
    sockets = bind_sockets(port, _HOST)
    active = _ActiveRequests()
    server = HTTPServer(
        Application(
            [
                (
                    '/-/runs',
                    RequestCountsHandler,
                    {'counts': options.request_counts},
                ),
                ('/.*', _EchoHandler, {'options': options, 'active': active}),
            ],
            log_function=_skip_access_log,
        ),
    )
    server.add_sockets(sockets)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    fields = {
        'instance': options.name,
        'incarnation': int(time.time() * _MS_PER_S),
        'pool': options.pool,
        'host': _HOST,
        'port': options.announced_port or sockets[0].getsockname()[1],
        'data_centre': location[0],
        'rack': location[1],
    }
    announcer = _Announcer(fields, tuple(str(entries).split(',')))
    announce_task = asyncio.create_task(announcer.run())
    await stop_requested.wait()
    await _drain(announcer, active)
    announce_task.cancel()
    server.stop()


async def _drain(announcer: _Announcer, active: _ActiveRequests) -> None:
    # Entries that have not received the announcement may still send requests,
    # so the port stays open for a grace period.
    await announcer.change_status('draining')
    await asyncio.sleep(_DRAIN_GRACE_S)
    await active.wait_until_empty()
    await announcer.change_status('stopped')


def _skip_access_log(handler: RequestHandler) -> None:
    """Skip the access log."""
