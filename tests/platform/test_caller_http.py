"""Requests of callers that an entry must answer in any case."""

import asyncio
from typing import Any

from tornado.httputil import HTTPServerRequest

from builders.processes import find_ports
from sardinemast.conf import Address
from sardinemast.metrics import ProcessMetrics
from sardinemast.platform._caller_http import CallerHandler
from sardinemast.platform._http_server import (
    Handler,
    HttpResponse,
    RequestServer,
)
from sardinemast.protocol import CallAnswer, CallOutcome

_TIMEOUT_S = 5.0
_REQUEST = b'GET /seats/1 HTTP/1.1\r\nHost: h.example\r\n%s\r\n'


class _SilentLeader:
    """Answer no call, and record how long each would have waited."""

    def __init__(self) -> None:
        self.timeouts_s: list[float] = []

    async def call(self, call: Any, timeout_s: float) -> CallAnswer:
        self.timeouts_s.append(timeout_s)
        return CallAnswer(CallOutcome.uncertain)


def _make_handler() -> tuple[CallerHandler, list[float]]:
    leader: Any = _SilentLeader()
    return CallerHandler(leader, ProcessMetrics()), leader.timeouts_s


async def _send(handle: Handler, header: bytes = b'') -> bytes:
    """Send a request to a server, and return the first line of its answer."""
    address = Address('127.0.0.1', find_ports(1)[0])
    server = RequestServer(handle)
    server.listen(address)
    reader, writer = await asyncio.open_connection(*address)
    writer.write(_REQUEST % header)
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            return await reader.readline()
    finally:
        writer.close()
        await server.stop()


def test_failed_handler_is_answered() -> None:
    """A request whose handler raises an error never gets an answer."""

    async def fail(request: HTTPServerRequest) -> HttpResponse:
        raise LookupError

    answer = asyncio.run(_send(fail))
    assert answer.startswith(b'HTTP/1.1 500 ')


def test_deadline_that_is_no_decimal_number() -> None:
    """A deadline of digits that are no decimal number ends a request."""
    handler, timeouts_s = _make_handler()
    answer = asyncio.run(_send(handler.handle, b'X-Deadline-Ms: \xb2\r\n'))
    assert answer.startswith(b'HTTP/1.1 504 ')
    assert timeouts_s == [2.5]


def test_call_does_not_outlast_the_drain_of_a_stopping_entry() -> None:
    """A call that waits for a silent leader is cut off when its entry stops."""
    handler, timeouts_s = _make_handler()
    handler.start_stopping(2)
    answer = asyncio.run(_send(handler.handle))
    assert answer.startswith(b'HTTP/1.1 504 ')
    assert 0 < timeouts_s[0] < 2


def test_call_at_the_end_of_the_drain_is_refused() -> None:
    """A call is sent to the leader although no time is left for its answer."""
    handler, timeouts_s = _make_handler()
    handler.start_stopping(0)
    answer = asyncio.run(_send(handler.handle))
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert not timeouts_s
