"""HTTP server for callers, with a fake entry behind it."""

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


class _FakeEntry:
    """Record each request and respond to it immediately."""

    def __init__(self) -> None:
        self.identity = create_identity('entry-1')
        self.loop: Any = None
        self.metrics = EntryMetrics()
        self.arrivals: list[Arrival] = []
        self.discarded: list[int] = []
        self.writes: list[asyncio.Future[None]] = []
        self.responds = True
        self.body = b''
        self.response: UpstreamResponse | None = None
        self.is_raising = False

    def is_ready(self) -> bool:
        return True

    def holds_keys(self) -> bool:
        return True

    def is_stopping(self) -> bool:
        return False

    def track_write(self, written: asyncio.Future[None]) -> None:
        self.writes.append(written)

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
        if self.responds:
            response = UpstreamResponse(
                200, 'OK', HTTPHeaders(), self.body or request.body
            )
            self.is_raising = True
            respond(self.response or response)
            self.is_raising = False
        return len(self.arrivals)

    def discard_caller(self, request_id: int) -> None:
        self.discarded.append(request_id)


async def _read_response(reader: asyncio.StreamReader) -> bytes:
    head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
    length = head.lower().partition(b'content-length: ')[2].split(b'\r')[0]
    return head + await reader.readexactly(int(length))


@asynccontextmanager
async def _connect(
    fake_entry: _FakeEntry,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    server = listen_for_callers(fake_entry, Address('127.0.0.1', 0))
    port = next(iter(server._sockets.values())).getsockname()[1]
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    yield reader, writer
    writer.close()
    server.stop()


def _send(sent: bytes) -> tuple[bytes, _FakeEntry]:
    """Send bytes and return the response."""

    async def run() -> tuple[bytes, _FakeEntry]:
        fake_entry = _FakeEntry()
        async with _connect(fake_entry) as (reader, writer):
            writer.write(sent)
            return await _read_response(reader), fake_entry

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
    """Guard against request smuggling through ambiguous framing."""
    hidden = b'GET /enrolment/hidden HTTP/1.1\r\nHost: entry\r\n\r\n'
    received, fake_entry = _send(sent + hidden)
    assert received.startswith(b'HTTP/1.1 400 ')
    assert b'shell.E001' in received
    assert b'Sardinemast-Outcome: not run\r\n' in received
    assert not fake_entry.arrivals


@pytest.mark.parametrize(
    'deadline', ['nan', 'inf', '-inf', 'soon', '', '1e999']
)
def test_invalid_deadline_is_refused(deadline: str) -> None:
    """Guard against deadlines that are not finite numbers."""
    header = f'Sardinemast-Deadline-S: {deadline}\r\n\r\n'.encode()
    received, fake_entry = _send(_GET + header)
    assert b'admission.E009' in received
    assert not fake_entry.arrivals


@pytest.mark.parametrize(
    'sent',
    [
        _POST + b'Content-Length: 1000000000000\r\n\r\n',
        _POST + b'Content-Length: 99\r\nExpect: 100-continue\r\n\r\n',
        _POST + b'Transfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n',
    ],
)
def test_large_body_is_refused_before_its_end(sent: bytes) -> None:
    """Guard against large uploads that fill the memory before the check."""
    received, fake_entry = _send(sent)
    assert received.startswith(b'HTTP/1.1 413 ')
    assert b'admission.E004' in received
    assert not fake_entry.arrivals


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
def test_complete_body_is_submitted(sent: bytes, body: bytes) -> None:
    """Accept a body with a declared length and a chunked one."""
    received, fake_entry = _send(sent)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert received.endswith(b'\r\n\r\n' + body)
    assert [one.body_bytes for one in fake_entry.arrivals] == [len(body)]


def test_response_without_a_body_may_declare_a_length() -> None:
    """Guard against an entry that ends after a 204 response with a length.

    Tornado raised an error, since the declared body was never written, and the
    loop of the entry ended with it.
    """

    async def run() -> bytes:
        fake_entry = _FakeEntry()
        headers = HTTPHeaders({'Content-Length': '5'})
        fake_entry.response = UpstreamResponse(204, 'No Content', headers, b'')
        async with _connect(fake_entry) as (reader, writer):
            writer.write(_GET + b'\r\n')
            return await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)

    received = asyncio.run(run())
    assert received.startswith(b'HTTP/1.1 204 ')
    assert b'Content-Length' not in received


def test_response_that_cannot_be_written_closes_its_connection() -> None:
    """Guard against an entry that ends with the first response of this kind."""

    async def run() -> _FakeEntry:
        fake_entry = _FakeEntry()
        fake_entry.response = UpstreamResponse(
            200, 'OK\r\nX: y', HTTPHeaders(), b''
        )
        async with _connect(fake_entry) as (reader, writer):
            writer.write(_GET + b'\r\n')
            assert not await asyncio.wait_for(reader.read(), 5)
        return fake_entry

    fake_entry = asyncio.run(run())
    assert fake_entry.arrivals
    assert not fake_entry.is_raising


def test_disconnected_caller_is_discarded() -> None:
    """Guard against requests that wait after their caller disconnected."""

    async def run() -> _FakeEntry:
        fake_entry = _FakeEntry()
        fake_entry.responds = False
        async with _connect(fake_entry) as (_, writer):
            writer.write(_GET + b'\r\n')
            while not fake_entry.arrivals:
                await asyncio.sleep(0)
        for _ in range(_MANY_TURNS):
            await asyncio.sleep(0)
        return fake_entry

    assert asyncio.run(run()).discarded == [1]


def test_caller_that_does_not_read_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against memory filled with responses that nobody reads."""
    monkeypatch.setattr(_caller_exchange, '_WRITE_TIMEOUT_S', 0.01)

    async def run() -> None:
        fake_entry = _FakeEntry()
        fake_entry.body = b'x' * 50_000_000
        async with _connect(fake_entry) as (reader, writer):
            writer.write(_GET + b'\r\n')
            while not fake_entry.writes:
                await asyncio.sleep(0)
            await asyncio.wait_for(fake_entry.writes[0], 5)

    asyncio.run(run())


def test_disconnect_during_the_response_completes_the_write() -> None:
    """Guard against a planned stop that waits for a lost caller."""

    async def run() -> None:
        fake_entry = _FakeEntry()
        fake_entry.body = b'x' * 50_000_000
        async with _connect(fake_entry) as (_, writer):
            writer.write(_GET + b'\r\n')
            while not fake_entry.writes:
                await asyncio.sleep(0)
            writer.transport.abort()
            await asyncio.wait_for(fake_entry.writes[0], 5)

    asyncio.run(run())
