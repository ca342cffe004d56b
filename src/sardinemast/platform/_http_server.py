"""Minimal HTTP server that passes each request to a handler."""

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
    """Hold a response; ``retry_after_s`` of 0 sends no Retry-After."""

    code: int
    body: bytes = b''
    retry_after_s: int = 0
    content_type: str = 'application/json'


Handler = Callable[[HTTPServerRequest], Awaitable[HttpResponse]]


class RequestServer:
    """Serve requests with a handler and track those in progress."""

    def __init__(self, handle: Handler) -> None:
        self.is_stopping = False
        self._handle = handle
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = HTTPServer(
            self._start_task,
            max_body_size=_BODY_LIMIT_BYTES,
        )

    @property
    def open_request_count(self) -> int:
        """Return the number of requests in progress."""
        return len(self._tasks)

    def listen(self, address: Address) -> None:
        """Start accepting connections at an address."""
        self._server.listen(address.port, address.host)

    async def stop(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._server.stop()
        await self._server.close_all_connections()

    def _start_task(self, request: HTTPServerRequest) -> None:
        task = asyncio.create_task(self._respond(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _get_response(self, request: HTTPServerRequest) -> HttpResponse:
        try:
            return await self._handle(request)
        except Exception:
            # Without a response the client would wait until its timeout.
            _log.exception('{} {} failed.', request.method, request.path)
            return HttpResponse(HTTPStatus.INTERNAL_SERVER_ERROR)

    async def _respond(self, request: HTTPServerRequest) -> None:
        response = await self._get_response(request)
        connection = request.connection
        if connection is None:
            return
        headers = HTTPHeaders({'Content-Length': str(len(response.body))})
        if response.body:
            headers['Content-Type'] = response.content_type
        if response.retry_after_s:
            headers['Retry-After'] = str(response.retry_after_s)
        if self.is_stopping:
            headers['Connection'] = 'close'
        phrase = HTTPStatus(response.code).phrase
        start_line = ResponseStartLine('HTTP/1.1', response.code, phrase)
        try:
            connection.write_headers(start_line, headers, response.body)
            connection.finish()
        except StreamClosedError:
            _log.debug('The client closed the connection before the response.')
