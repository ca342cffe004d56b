"""An upstream that announces itself and answers what it was sent."""

import asyncio
import json
import signal
import time
from collections import Counter
from contextlib import suppress
from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from sardinemast.standins._misbehaviour import MISBEHAVIOURS, RunsHandler

_ANNOUNCE_S = 0.5
_MS_PER_S = 1000
_HOST = '127.0.0.1'


class _Options(NamedTuple):
    name: str
    pool: str
    delay_s: float
    behaviour: str
    announced_port: int
    runs: Counter[str]


class _EchoHandler(RequestHandler):
    def initialize(self, options: _Options) -> None:
        self._options = options

    async def prepare(self) -> None:
        self._options.runs[str(self.request.uri)] += 1
        misbehave = MISBEHAVIOURS.get(self._options.behaviour)
        if misbehave is not None:
            await misbehave(self)
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
    """Serve until SIGTERM; ``entries`` lists HOST:PORT with commas.

    ``announced_port`` is that of a relay in front, where there is one.
    """
    options = _Options(
        name, pool, delay_s, behaviour, announced_port, Counter()
    )
    asyncio.run(_serve(options, entries, port, (data_centre, rack)))


async def _serve(
    options: _Options,
    entries: str,
    port: int,
    place: tuple[str, str],
) -> None:
    sockets = bind_sockets(port, _HOST)
    server = HTTPServer(
        Application(
            [
                ('/-/runs', RunsHandler, {'runs': options.runs}),
                ('/.*', _EchoHandler, {'options': options}),
            ],
            log_function=_skip_log,
        ),
    )
    server.add_sockets(sockets)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    announcement = {
        'instance': options.name,
        'incarnation': int(time.time() * _MS_PER_S),
        'pool': options.pool,
        'host': _HOST,
        'port': options.announced_port or sockets[0].getsockname()[1],
        'data_centre': place[0],
        'rack': place[1],
    }
    addresses = tuple(str(entries).split(','))
    announcing = asyncio.create_task(_announce(announcement, addresses))
    await stopping.wait()
    announcing.cancel()
    server.stop()


async def _announce(
    announcement: dict[str, Any],
    addresses: tuple[str, ...],
) -> None:
    client = AsyncHTTPClient()
    turn = 0
    while True:
        address = addresses[turn % len(addresses)]
        turn += 1
        # An entry that is down must not stop the announcing to the others.
        with suppress(OSError):
            await client.fetch(
                f'http://{address}/-/announce',
                method='POST',
                body=json.dumps(announcement),
                raise_error=False,
                request_timeout=_ANNOUNCE_S,
            )
        await asyncio.sleep(_ANNOUNCE_S)


def _skip_log(handler: RequestHandler) -> None:
    """Write no access log."""
