"""Responses of the HTTP server when a handler fails."""

import asyncio
from typing import Any

from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    ResponseStartLine,
)

from builders.platform_requests import make_request
from sardinemast.platform._http_server import HttpResponse, RequestServer


class FakeConnection:
    """Record the status codes of the responses."""

    context: Any = None

    def __init__(self) -> None:
        self.codes: list[int] = []
        self.is_finished = False

    def write_headers(
        self,
        start_line: ResponseStartLine,
        headers: HTTPHeaders,
        chunk: bytes,
    ) -> None:
        """Record a response."""
        self.codes.append(start_line.code)

    def finish(self) -> None:
        """Record that the response is complete."""
        self.is_finished = True


async def _fail(request: HTTPServerRequest) -> HttpResponse:
    raise ZeroDivisionError


async def _request(connection: FakeConnection) -> None:
    server = RequestServer(_fail)
    server._start_task(make_request('GET', '/', connection=connection))
    await asyncio.gather(*server._tasks, return_exceptions=True)


def test_caller_is_answered_if_the_handler_raises() -> None:
    """Guard against callers that wait for an answer until they time out."""
    connection = FakeConnection()
    asyncio.run(_request(connection))
    assert connection.codes == [500]
    assert connection.is_finished
