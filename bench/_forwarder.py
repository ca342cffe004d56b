"""Forwarder without any checks, as a baseline for the entry.

``python -m bench._forwarder PORT UPSTREAM_PORT CLIENT`` serves until killed.
"""

import asyncio
import sys

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from sardinemast.membership import Announcement
from sardinemast.routing import StartAttempt
from sardinemast.shell._upstream_client import CallerRequest, UpstreamClient

_HOST = '127.0.0.1'
_MAX_CLIENTS = 512
_TIMEOUT_S = 10.0


class _SimpleHandler(RequestHandler):
    """Forward each request on a new connection."""

    def initialize(self, upstream_port: int) -> None:
        self._port = upstream_port
        self._client = AsyncHTTPClient(max_clients=_MAX_CLIENTS)

    async def prepare(self) -> None:
        response = await self._client.fetch(
            HTTPRequest(
                f'http://{_HOST}:{self._port}{self.request.uri}',
                method=self.request.method or 'GET',
                body=self.request.body or None,
                allow_nonstandard_methods=True,
            )
        )
        self.finish(response.body)


class _PooledHandler(RequestHandler):
    """Forward requests through the connection pool of the entry."""

    client: UpstreamClient

    def initialize(self, upstream_port: int) -> None:
        self._port = upstream_port

    async def prepare(self) -> None:
        upstream = Announcement(
            'u1', 1, 'enrolment', _HOST, self._port, 'a', 'r'
        )
        attempt = await self.client.send(
            StartAttempt(1, upstream, _TIMEOUT_S, False, _MAX_CLIENTS),
            CallerRequest(
                self.request.method or 'GET',
                self.request.uri or '/',
                self.request.headers,
                self.request.body,
                _HOST,
            ),
        )
        assert attempt.response is not None
        self.finish(attempt.response.body)


async def _serve(port: int, upstream_port: int, client: str) -> None:
    _PooledHandler.client = UpstreamClient()
    handlers = {'simple': _SimpleHandler, 'pooled': _PooledHandler}
    options = {'upstream_port': upstream_port}
    application = Application(
        [('/.*', handlers[client], options)],
        log_function=lambda handler: None,
    )
    HTTPServer(application).listen(port, _HOST)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_serve(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]))
