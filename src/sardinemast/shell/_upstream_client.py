"""HTTP client for upstreams: one exchange at a time per connection."""

import asyncio
import time
from collections.abc import Iterable
from typing import NamedTuple

from tornado.httputil import HTTPHeaders

from sardinemast.entry import AttemptResult, StartAttempt
from sardinemast.membership import Announcement
from sardinemast.shell._connection_pool import MAX_IDLE_S, ConnectionPool
from sardinemast.shell._headers import filter_request_headers
from sardinemast.shell._http_connection import (
    Header,
    HttpConnection,
    RawRequest,
    RawResponse,
)

_CONNECT_TIMEOUT_S = 1.0
_BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))
_FAILURE_CODES = frozenset((500, 502, 503, 504))
_ENCODING = 'latin-1'


class CallerRequest(NamedTuple):
    """Hold a caller's complete request."""

    method: str
    uri: str
    headers: HTTPHeaders
    body: bytes
    remote_ip: str


class UpstreamResponse(NamedTuple):
    """Hold an upstream's complete response."""

    code: int
    reason: str
    headers: HTTPHeaders
    body: bytes


class Attempt(NamedTuple):
    """Hold the result of an attempt and the response, if complete."""

    attempt_result: AttemptResult
    response: UpstreamResponse | None = None


class RawAttempt(NamedTuple):
    """Hold the result of an attempt and the response with raw headers."""

    attempt_result: AttemptResult
    response: RawResponse | None = None


class UpstreamClient:
    """Send requests over connection pools, one per upstream."""

    def __init__(self) -> None:
        self._pools: dict[str, ConnectionPool] = {}

    async def run(self) -> None:
        """Close stale idle connections until cancelled."""
        while True:
            await asyncio.sleep(MAX_IDLE_S)
            self._drop_stale()

    async def send(
        self, start: StartAttempt, request: CallerRequest
    ) -> Attempt:
        """Send a caller's request once, without key and hop-by-hop headers."""
        headers = filter_request_headers(request.headers, request.remote_ip)
        encoded = encode_request(
            request.method,
            request.uri,
            start.upstream,
            headers.get_all(),
            request.body,
        )
        attempt = await self.exchange(start, encoded)
        if attempt.response is None:
            return Attempt(attempt.attempt_result)
        response = attempt.response
        received = HTTPHeaders()
        for header in response.headers:
            received.add(*header)
        return Attempt(
            attempt.attempt_result,
            UpstreamResponse(
                response.code, response.reason, received, response.body
            ),
        )

    async def exchange(
        self,
        start: StartAttempt,
        request: RawRequest,
    ) -> RawAttempt:
        """Send a request once and return its result."""
        deadline_s = time.monotonic() + start.timeout_s
        pool = self._get_pool(start.upstream)
        try:
            connection = await _acquire_connection(pool, start)
        except (OSError, TimeoutError):
            return RawAttempt(AttemptResult.not_sent)
        # The process may have been suspended since the core decided. The
        # team's key may have been withdrawn or its slot granted to another
        # entry, so nothing is sent after the lease.
        is_valid = time.monotonic() < start.valid_until_s
        if not is_valid or not connection.has_no_pending_input():
            pool.drop(connection)
            return RawAttempt(AttemptResult.not_sent)
        remaining_s = deadline_s - time.monotonic()
        if connection.is_reused and start.is_repeatable:
            # A firewall or NAT may have dropped the reused connection, so half
            # of the time is kept for a retry on a new one.
            remaining_s /= 2
        try:
            response = await _wait_for_response(
                connection, request, remaining_s
            )
        except TimeoutError:
            pool.drop(connection)
            return _handle_timeout(pool, connection)
        except asyncio.CancelledError:
            pool.drop(connection)
            raise
        pool.release(connection)
        return _classify_response(response)

    def _get_pool(self, upstream: Announcement) -> ConnectionPool:
        pool = self._pools.get(upstream.instance)
        if pool is None or not pool.matches(upstream):
            if pool is not None:
                pool.close()
            pool = ConnectionPool(upstream)
            self._pools[upstream.instance] = pool
        return pool

    def _drop_stale(self) -> None:
        now_s = time.monotonic()
        for pool in self._pools.values():
            pool.drop_stale(now_s)


def encode_request(
    method: str,
    uri: str,
    upstream: Announcement,
    headers: Iterable[Header],
    body: bytes,
) -> RawRequest:
    """Encode a request, or raise ``ValueError`` if a line has a line break."""
    lines = [f'{method} {uri} HTTP/1.1']
    lines.append(f'Host: {upstream.host}:{upstream.port}')
    lines.extend(f'{name}: {text}' for name, text in headers)
    if body or method in _BODY_METHODS:
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(lines)
    # Prevents injection of headers or requests through line breaks.
    if head.count('\n') >= len(lines) or head.count('\r') >= len(lines):
        raise ValueError('A line of the request contains a line break.')
    encoded = f'{head}\r\n\r\n'.encode(_ENCODING)
    return RawRequest(encoded + body, method == 'HEAD')


async def _acquire_connection(
    pool: ConnectionPool,
    start: StartAttempt,
) -> HttpConnection:
    connection = pool.take_idle()
    if connection is not None:
        return connection
    async with asyncio.timeout(min(_CONNECT_TIMEOUT_S, start.timeout_s)):
        return await pool.open(start.connection_limit)


async def _wait_for_response(
    connection: HttpConnection,
    request: RawRequest,
    remaining_s: float,
) -> RawResponse | None:
    response_future = connection.send(request)
    timer = asyncio.get_running_loop().call_later(
        remaining_s, connection.time_out
    )
    try:
        return await response_future
    finally:
        timer.cancel()


def _handle_timeout(
    pool: ConnectionPool, connection: HttpConnection
) -> RawAttempt:
    if not connection.is_reused:
        return RawAttempt(AttemptResult.timed_out)
    # Other idle connections may have been dropped on the way as well.
    pool.drop_idle()
    return RawAttempt(AttemptResult.silent)


def _classify_response(response: RawResponse | None) -> RawAttempt:
    if response is None:
        return RawAttempt(AttemptResult.broken)
    if response.code in _FAILURE_CODES:
        return RawAttempt(AttemptResult.failed, response)
    return RawAttempt(AttemptResult.answered, response)
