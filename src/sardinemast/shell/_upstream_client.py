"""Requests to upstreams, each on a connection of its own for the time."""

import asyncio
import time
from typing import NamedTuple

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from sardinemast.entry import AttemptResult, StartAttempt
from sardinemast.membership import Announcement
from sardinemast.shell._connections import (
    FRESH_S,
    MAX_HEAD_BYTES,
    ConnectionPool,
    UpstreamStream,
)
from sardinemast.shell._headers import filter_request_headers

MAX_ANSWER_BYTES = 4 * 1024 * 1024
_CONNECT_TIMEOUT_S = 1.0
_BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))
_BODYLESS_CODES = frozenset((204, 304))
_FAILURE_CODES = frozenset((500, 502, 503, 504))
_FIRST_FINAL_CODE = 200
_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=MAX_HEAD_BYTES,
    max_body_size=MAX_ANSWER_BYTES,
)


class CallerRequest(NamedTuple):
    """Hold a caller's whole request."""

    method: str
    uri: str
    headers: HTTPHeaders
    body: bytes
    remote_ip: str


class UpstreamAnswer(NamedTuple):
    """Hold a whole answer."""

    code: int
    reason: str
    headers: HTTPHeaders
    body: bytes


class Attempt(NamedTuple):
    """Hold how an attempt ended, and the whole answer where there is one."""

    attempt_result: AttemptResult
    answer: UpstreamAnswer | None = None


class _AnswerReader(HTTPMessageDelegate):
    """Collect one answer, and tell whether it is whole and may be used."""

    def __init__(self, stream: UpstreamStream, is_head: bool) -> None:
        self.answer: UpstreamAnswer | None = None
        self.has_failed = False
        self.may_reuse = False
        self._stream = stream
        self._is_head = is_head
        self._start = ResponseStartLine('', 0, '')
        self._headers = HTTPHeaders()
        self._parts: list[bytes] = []

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take a head; those before the final one hold nothing of use."""
        if not isinstance(start_line, ResponseStartLine):
            raise TypeError(start_line)
        self._start = start_line
        self._headers = headers
        if start_line.code >= _FIRST_FINAL_CODE and not self._has_end():
            self._fail()

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._parts.append(chunk)

    def finish(self) -> None:
        """Note that the answer is whole."""
        # An answer to a request that is still on its way is no answer to
        # the whole of it: it may belong to an exchange before, or to a part.
        if self._stream.writing():
            self._fail()
        if self.has_failed:
            return
        body = b''.join(self._parts)
        self.answer = UpstreamAnswer(
            self._start.code,
            self._start.reason,
            self._headers,
            body,
        )
        self.may_reuse = (
            self._start.version == 'HTTP/1.1'
            and 'close' not in self._headers.get('Connection', '').lower()
        )

    def on_connection_close(self) -> None:
        """Note that nothing more can come."""
        self.has_failed = True

    def _has_end(self) -> bool:
        # A body that ends with the connection looks whole when it is cut.
        return (
            self._is_head
            or self._start.code in _BODYLESS_CODES
            or 'Content-Length' in self._headers
            or 'Transfer-Encoding' in self._headers
        )

    def _fail(self) -> None:
        self.has_failed = True
        self._stream.close()


class UpstreamClient:
    """Send requests over pools of connections, one pool an upstream."""

    def __init__(self) -> None:
        self._pools: dict[str, ConnectionPool] = {}

    async def run(self) -> None:
        """Close what has gone stale, until cancelled."""
        while True:
            await asyncio.sleep(FRESH_S)
            self._drop_stale()

    async def send(
        self, start: StartAttempt, request: CallerRequest
    ) -> Attempt:
        """Send a request once, and give the whole answer or what is known."""
        due_s = time.monotonic() + start.timeout_s
        pool = self._get_pool(start.upstream)
        try:
            stream = await self._get_stream(pool, start)
        except (OSError, TimeoutError):
            return Attempt(AttemptResult.not_sent)
        reader = _AnswerReader(stream, request.method == 'HEAD')
        left_s = due_s - time.monotonic()
        if stream.is_reused and start.is_repeatable:
            # Half the time is left for a fresh connection, in case that
            # something between has lost track of this one.
            left_s /= 2
        try:
            async with asyncio.timeout(left_s):
                attempt = await _exchange(stream, start, request, reader)
        except TimeoutError:
            attempt = self._end_late(pool, stream)
        finally:
            # Whatever ends an exchange early leaves its answer under way;
            # on a connection used again it would go to another caller.
            if reader.answer is None or not reader.may_reuse:
                pool.drop(stream)
        if reader.answer is not None and reader.may_reuse:
            pool.give_back(stream)
        return attempt

    async def _get_stream(
        self,
        pool: ConnectionPool,
        start: StartAttempt,
    ) -> UpstreamStream:
        stream = pool.take_idle()
        if stream is None:
            async with asyncio.timeout(
                min(_CONNECT_TIMEOUT_S, start.timeout_s)
            ):
                stream = await pool.open(start.connection_limit)
        return stream

    def _end_late(
        self,
        pool: ConnectionPool,
        stream: UpstreamStream,
    ) -> Attempt:
        if not stream.is_reused:
            return Attempt(AttemptResult.timed_out)
        # The next attempt must not meet the same fate on a connection that
        # takes the same way.
        pool.drop_idle()
        return Attempt(AttemptResult.silent)

    def _get_pool(self, upstream: Announcement) -> ConnectionPool:
        pool = self._pools.get(upstream.instance)
        if pool is None or not pool.is_for(upstream):
            if pool is not None:
                pool.close()
            pool = ConnectionPool(upstream)
            self._pools[upstream.instance] = pool
        return pool

    def _drop_stale(self) -> None:
        now_s = time.monotonic()
        for pool in self._pools.values():
            pool.drop_stale(now_s)


async def _exchange(
    stream: UpstreamStream,
    start: StartAttempt,
    request: CallerRequest,
    reader: _AnswerReader,
) -> Attempt:
    # A process that was stopped after its core's decision goes on here, maybe
    # an hour later. The key may be withdrawn and the limit given to others.
    is_valid = time.monotonic() < start.valid_until_s
    if not is_valid or not stream.is_silent():
        return Attempt(AttemptResult.not_sent)
    connection = HTTP1Connection(stream, is_client=True, params=_PARAMETERS)
    try:
        _write(connection, start.upstream, request)
        await connection.read_response(reader)
    except StreamClosedError:
        return Attempt(AttemptResult.broken)
    if reader.answer is None:
        return Attempt(AttemptResult.broken)
    if reader.answer.code in _FAILURE_CODES:
        return Attempt(AttemptResult.failed, reader.answer)
    return Attempt(AttemptResult.answered, reader.answer)


def _write(
    connection: HTTP1Connection,
    upstream: Announcement,
    request: CallerRequest,
) -> None:
    headers = filter_request_headers(request.headers, request.remote_ip)
    headers['Host'] = f'{upstream.host}:{upstream.port}'
    if request.body or request.method in _BODY_METHODS:
        headers['Content-Length'] = str(len(request.body))
    start_line = RequestStartLine(request.method, request.uri, 'HTTP/1.1')
    connection.write_headers(start_line, headers, request.body)
    connection.finish()
