"""Callers' bytes at an entry's port, with no entry behind it."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Any

import pytest
from tornado.httputil import HTTPHeaders

from sardinemast.admission import Arrival, Refusal, refuse_not_run
from sardinemast.conf import Address
from sardinemast.shell import _caller_exchange, create_identity
from sardinemast.shell._caller_http import listen_for_callers
from sardinemast.shell._entry_metrics import EntryMetrics
from sardinemast.shell._upstream_client import CallerRequest, UpstreamResponse

_LIMIT_BYTES = 8
_MANY_TURNS = 50
_POST = b'POST /enrolment/book HTTP/1.1\r\nHost: entry\r\n'
_GET = b'GET /enrolment/book HTTP/1.1\r\nHost: entry\r\n'


class _Desk:
    """Answer each request at once, and note it."""

    def __init__(self) -> None:
        self.identity = create_identity('entry-1')
        self.loop: Any = None
        self.metrics = EntryMetrics()
        self.arrivals: list[Arrival] = []
        self.forgotten: list[int] = []
        self.writing: list[asyncio.Future[None]] = []
        self.gives_answers = True
        self.body = b''

    def is_ready(self) -> bool:
        return True

    def holds_keys(self) -> bool:
        return True

    def is_stopping(self) -> bool:
        return False

    def track_write(self, written: asyncio.Future[None]) -> None:
        self.writing.append(written)

    def check_head(self, arrival: Arrival) -> Refusal | int:
        if arrival.body_bytes > _LIMIT_BYTES:
            return refuse_not_run(
                'admission.E004',
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'Send less.',
            )
        return _LIMIT_BYTES

    def handle_request(
        self,
        request: CallerRequest,
        arrival: Arrival,
        respond: _caller_exchange.ResponseCallback,
    ) -> int:
        self.arrivals.append(arrival)
        if self.gives_answers:
            respond(
                UpstreamResponse(
                    200, 'OK', HTTPHeaders(), self.body or request.body
                )
            )
        return len(self.arrivals)

    def discard_caller(self, request_id: int) -> None:
        self.forgotten.append(request_id)


async def _read_answer(reader: asyncio.StreamReader) -> bytes:
    head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
    length = head.lower().partition(b'content-length: ')[2].split(b'\r')[0]
    return head + await reader.readexactly(int(length))


@asynccontextmanager
async def _connect(
    handler: _Desk,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    server = listen_for_callers(handler, Address('127.0.0.1', 0))
    port = next(iter(server._sockets.values())).getsockname()[1]
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    yield reader, writer
    writer.close()
    server.stop()


def _send(sent: bytes) -> tuple[bytes, _Desk]:
    """Send bytes, and give all that comes back."""

    async def run() -> tuple[bytes, _Desk]:
        handler = _Desk()
        async with _connect(handler) as (reader, writer):
            writer.write(sent)
            return await _read_answer(reader), handler

    return asyncio.run(run())


@pytest.mark.parametrize(
    'sent',
    [
        _POST + b'Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello',
        _POST + b'Content-Length: 5, 6\r\n\r\nhello',
        _POST + b'Content-Length: +5\r\n\r\nhello',
        _POST + b'Content-Length: -5\r\n\r\nhello',
        _POST
        + b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        _POST + b'Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n',
        _POST + b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n',
        _POST + b'Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n',
        _POST + b'Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n',
        _POST + b'X: a\r\n Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        _POST + b'Host: other\r\nContent-Length: 0\r\n\r\n',
        _GET + b'X: a\x00b\r\n\r\n',
        _GET + b'X y: b\r\n\r\n',
        b'GET /enrolment/book HTTP/1.1\r\n\r\n',
        b'GET /enrolment/book\r\n\r\n',
        b'POST /enrolment/book HTTP/1.0\r\nHost: entry\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    ],
)
def test_ambiguous_request_is_refused(sent: bytes) -> None:
    """Refuse what two servers could read differently.

    A caller hides a second request behind two lengths that disagree. If the
    entry and the upstream each believed another one, it would run unchecked.
    """
    hidden = b'GET /enrolment/hidden HTTP/1.1\r\nHost: entry\r\n\r\n'
    received, handler = _send(sent + hidden)
    assert received.startswith(b'HTTP/1.1 400 ')
    assert b'shell.E001' in received
    assert b'Sardinemast-Outcome: not run\r\n' in received
    assert not handler.arrivals


@pytest.mark.parametrize(
    'deadline', ['nan', 'inf', '-inf', 'soon', '', '1e999']
)
def test_deadline_that_is_no_number(deadline: str) -> None:
    """Refuse a deadline that no clock can reach."""
    header = f'Sardinemast-Deadline-S: {deadline}\r\n\r\n'.encode()
    received, handler = _send(_GET + header)
    assert b'admission.E009' in received
    assert not handler.arrivals


@pytest.mark.parametrize(
    'sent',
    [
        _POST + b'Content-Length: 1000000000000\r\n\r\n',
        _POST + b'Content-Length: 99\r\nExpect: 100-continue\r\n\r\n',
        _POST + b'Transfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n',
    ],
)
def test_large_body_is_refused_before_its_end(sent: bytes) -> None:
    """Refuse a body over the limit while it is still on its way.

    A caller sends a gigabyte. Read to its end it would fill the memory of a
    small instance before anything is checked.
    """
    received, handler = _send(sent)
    assert received.startswith(b'HTTP/1.1 413 ')
    assert b'admission.E004' in received
    assert not handler.arrivals


@pytest.mark.parametrize(
    ('sent', 'body'),
    [
        (_POST + b'Content-Length: 5\r\n\r\nhello', b'hello'),
        (
            _POST + b'Transfer-Encoding: chunked\r\n\r\n'
            b'2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n',
            b'hello',
        ),
        (_POST + b'Content-Length: 5, 5\r\n\r\nhello', b'hello'),
        (_GET + b'\r\n', b''),
    ],
)
def test_whole_body_is_handed_over(sent: bytes, body: bytes) -> None:
    """A body in either framing arrives whole."""
    received, handler = _send(sent)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert received.endswith(b'\r\n\r\n' + body)
    assert [one.body_bytes for one in handler.arrivals] == [len(body)]


def test_caller_that_leaves_is_noticed() -> None:
    """Forget a caller that closes its connection while its request runs.

    Its place among those that wait would be taken for nobody.
    """

    async def run() -> _Desk:
        handler = _Desk()
        handler.gives_answers = False
        async with _connect(handler) as (_, writer):
            writer.write(_GET + b'\r\n')
            while not handler.arrivals:
                await asyncio.sleep(0)
        for _ in range(_MANY_TURNS):
            await asyncio.sleep(0)
        return handler

    assert asyncio.run(run()).forgotten == [1]


def test_caller_that_takes_nothing_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Close the connection of a caller that does not read its answer.

    Some thousand of them would fill the memory of the entry with answers.
    """
    monkeypatch.setattr(_caller_exchange, '_WRITE_TIMEOUT_S', 0.01)

    async def run() -> None:
        handler = _Desk()
        handler.body = b'x' * 50_000_000
        async with _connect(handler) as (reader, writer):
            writer.write(_GET + b'\r\n')
            while not handler.writing:
                await asyncio.sleep(0)
            await asyncio.wait_for(handler.writing[0], 5)

    asyncio.run(run())


def test_caller_that_leaves_in_mid_answer_is_noticed() -> None:
    """A caller goes away with half of its answer; a stop must not wait."""

    async def run() -> None:
        handler = _Desk()
        handler.body = b'x' * 50_000_000
        async with _connect(handler) as (_, writer):
            writer.write(_GET + b'\r\n')
            while not handler.writing:
                await asyncio.sleep(0)
            writer.transport.abort()
            await asyncio.wait_for(handler.writing[0], 5)

    asyncio.run(run())
