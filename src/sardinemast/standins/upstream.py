"""An upstream that announces itself and answers what it was sent."""

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

from sardinemast.standins._misbehaviour import MISBEHAVIOURS, RunsHandler

_ANNOUNCE_S = 0.5
_LEAVE_S = 2.0
_MS_PER_S = 1000
_HOST = '127.0.0.1'


class _Options(NamedTuple):
    name: str
    pool: str
    delay_s: float
    behaviour: str
    announced_port: int
    runs: Counter[str]


class _Running:
    """Count the requests that run."""

    def __init__(self) -> None:
        self.count = 0
        self.ended = asyncio.Event()

    async def wait_until_empty(self) -> None:
        """Return once nothing runs any more."""
        while self.count:
            self.ended.clear()
            await self.ended.wait()


class _EchoHandler(RequestHandler):
    def initialize(self, options: _Options, running: _Running) -> None:
        self._options = options
        self._running = running

    async def prepare(self) -> None:
        self._running.count += 1
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

    def on_finish(self) -> None:
        self._running.count -= 1
        self._running.ended.set()


class _Announcer:
    """Tell the entries of this upstream, one at a time or all at once."""

    def __init__(self, fields: dict[str, Any], entries: tuple[str, ...]):
        self._fields = {**fields, 'status': 'serving', 'sequence': 0}
        self._entries = entries
        self._client = AsyncHTTPClient(force_instance=True)

    async def run(self) -> None:
        """Announce to each entry in turn until cancelled."""
        turn = 0
        while True:
            await self._announce(self._entries[turn % len(self._entries)])
            turn += 1
            await asyncio.sleep(_ANNOUNCE_S)

    async def change(self, status: str) -> None:
        """Announce another status to all entries at once."""
        sequence = self._fields['sequence'] + 1
        self._fields.update(status=status, sequence=sequence)
        await asyncio.gather(*map(self._announce, self._entries))

    async def _announce(self, address: str) -> None:
        # An entry that is down must not stop the announcing to the others.
        with suppress(OSError, HTTPError):
            await self._client.fetch(
                f'http://{address}/-/announce',
                method='POST',
                body=json.dumps(self._fields),
                raise_error=False,
                request_timeout=_ANNOUNCE_S,
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
    running = _Running()
    server = HTTPServer(
        Application(
            [
                ('/-/runs', RunsHandler, {'runs': options.runs}),
                ('/.*', _EchoHandler, {'options': options, 'running': running}),
            ],
            log_function=_skip_log,
        ),
    )
    server.add_sockets(sockets)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    fields = {
        'instance': options.name,
        'incarnation': int(time.time() * _MS_PER_S),
        'pool': options.pool,
        'host': _HOST,
        'port': options.announced_port or sockets[0].getsockname()[1],
        'data_centre': place[0],
        'rack': place[1],
    }
    announcer = _Announcer(fields, tuple(str(entries).split(',')))
    announcing = asyncio.create_task(announcer.run())
    await stopping.wait()
    await _leave(announcer, running)
    announcing.cancel()
    server.stop()


async def _leave(announcer: _Announcer, running: _Running) -> None:
    # A request may be on its way from an entry that has not heard yet. An
    # upstream that closed its port at once would cut it.
    await announcer.change('draining')
    await asyncio.sleep(_LEAVE_S)
    await running.wait_until_empty()
    await announcer.change('stopped')


def _skip_log(handler: RequestHandler) -> None:
    """Write no access log."""
