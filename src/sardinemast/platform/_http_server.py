"""Small HTTP server: a function for each request, no framework above it."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

from logbook import Logger
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from sardinemast.conf import Address

_log = Logger('http')
_BODY_LIMIT_BYTES = 4 * 1024 * 1024


class HttpResponse(NamedTuple):
    """Hold an answer; above 0 ``retry_after_s`` says when to come back."""

    code: int
    body: bytes = b''
    retry_after_s: int = 0
    content_type: str = 'application/json'


Handle = Callable[[HTTPServerRequest], Awaitable[HttpResponse]]


class RequestServer:
    """Answer requests by a function, and know how many are under way."""

    def __init__(self, handle: Handle) -> None:
        self.is_stopping = False
        self._handle = handle
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = HTTPServer(
            self._take,
            max_body_size=_BODY_LIMIT_BYTES,
        )

    @property
    def busy(self) -> int:
        """Give how many requests have no answer yet."""
        return len(self._tasks)

    def listen(self, address: Address) -> None:
        """Take connections."""
        self._server.listen(address.port, address.host)

    async def stop(self) -> None:
        """Take no more connections, and close what is idle."""
        self._server.stop()
        await self._server.close_all_connections()

    def _take(self, request: HTTPServerRequest) -> None:
        task = asyncio.create_task(self._answer(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request: HTTPServerRequest) -> None:
        reply = await self._handle(request)
        connection = request.connection
        if connection is None:
            return
        headers = HTTPHeaders({'Content-Length': str(len(reply.body))})
        if reply.body:
            headers['Content-Type'] = reply.content_type
        if reply.retry_after_s:
            headers['Retry-After'] = str(reply.retry_after_s)
        if self.is_stopping:
            headers['Connection'] = 'close'
        phrase = HTTPStatus(reply.code).phrase
        start = ResponseStartLine('HTTP/1.1', reply.code, phrase)
        try:
            connection.write_headers(start, headers, reply.body)
            connection.finish()
        except StreamClosedError:
            _log.debug('A caller left before its answer.')
