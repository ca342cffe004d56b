"""Exchange with a caller, from the request head to the response."""

import asyncio
import math
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from logbook import Logger
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from sardinemast.admission import Arrival, Refusal
from sardinemast.shell._headers import (
    OUTCOME_HEADER,
    filter_response_headers,
)
from sardinemast.shell._http_connection import BODYLESS_CODES
from sardinemast.shell._request_heads import (
    encode_refusal,
    is_unambiguous,
    parse_arrival,
    refuse_large_body,
    refuse_malformed,
)
from sardinemast.shell._upstream_client import CallerRequest, UpstreamResponse

_log = Logger('callers')
_WRITE_TIMEOUT_S = 30.0
_DISCARD_TIMEOUT_S = 1.0
_MAX_DISCARDED_BYTES = 16_777_216

CallerResponse = UpstreamResponse | Refusal
ResponseCallback = Callable[[CallerResponse], None]


class CallerHandler(Protocol):
    """Define what an exchange requires from the entry."""

    def is_stopping(self) -> bool:
        """Check whether a planned stop has begun."""

    def track_write(self, written: asyncio.Future[None]) -> None:
        """Track a response until it has been written completely."""

    def check_head(self, arrival: Arrival) -> Refusal | int:
        """Return the body limit in bytes, or refuse based on the headers."""

    def handle_request(
        self,
        request: CallerRequest,
        arrival: Arrival,
        respond: ResponseCallback,
    ) -> int:
        """Start to process a request and return its id."""

    def discard_caller(self, request_id: int) -> None:
        """Cancel a request whose caller has disconnected."""


class CallerExchange(HTTPMessageDelegate):
    """Read a request, refuse it as early as possible, write the response."""

    def __init__(
        self,
        handler: CallerHandler,
        connection: HTTP1Connection,
        remote_ip: str,
    ) -> None:
        self._handler = handler
        self._connection = connection
        self._remote_ip = remote_ip
        self._start = RequestStartLine('', '', '')
        self._headers = HTTPHeaders()
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._limit_bytes = 0
        self._request_id: int | None = None
        self._is_complete = False
        self._has_responded = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Check the head, and refuse before the body is read if possible."""
        if not isinstance(start_line, RequestStartLine):
            raise TypeError(start_line)
        self._start = start_line
        self._headers = headers
        # Tornado still parses data read before the close. A request that was
        # pipelined behind a refused one must not run.
        if self._connection.stream.closed():
            self._has_responded = True
            return
        if not is_unambiguous(start_line, headers):
            self._is_complete = True
            self._respond(refuse_malformed())
            return
        if not ('Content-Length' in headers or 'Transfer-Encoding' in headers):
            return
        checked = self._check_head()
        if isinstance(checked, Refusal):
            self._respond(checked)
        else:
            self._limit_bytes = checked

    def data_received(self, chunk: bytes) -> None:
        """Append to the body, up to the pool's limit."""
        self._body_bytes += len(chunk)
        if self._has_responded:
            if self._body_bytes > _MAX_DISCARDED_BYTES:
                self._connection.close()
        elif self._body_bytes > self._limit_bytes:
            self._body_chunks.clear()
            self._respond(refuse_large_body(self._limit_bytes))
        else:
            self._body_chunks.append(chunk)

    def finish(self) -> None:
        """Submit the complete request."""
        if self._has_responded:
            self._connection.close()
            return
        self._is_complete = True
        arrival = parse_arrival(self._start, self._headers, self._body_bytes)
        if isinstance(arrival, Refusal):
            self._respond(arrival)
            return
        request = CallerRequest(
            self._start.method,
            self._start.path,
            self._headers,
            b''.join(self._body_chunks),
            self._remote_ip,
        )
        self._connection.set_close_callback(self.on_connection_close)
        request_id = self._handler.handle_request(
            request, arrival, self._respond
        )
        if not self._has_responded:
            self._request_id = request_id

    def on_connection_close(self) -> None:
        """Cancel the request after the caller has disconnected."""
        self._has_responded = True
        if self._request_id is not None:
            self._handler.discard_caller(self._request_id)

    def _check_head(self) -> Refusal | int:
        declared = self._headers.get('Content-Length', '0')
        body_bytes = int(declared) if declared.isdecimal() else 0
        arrival = parse_arrival(self._start, self._headers, body_bytes)
        if isinstance(arrival, Refusal):
            return arrival
        return self._handler.check_head(arrival)

    def _respond(self, response: CallerResponse) -> None:
        if self._has_responded:
            return
        self._has_responded = True
        try:
            self._write_any(response)
        except Exception:
            # Raised, it would end the entry's loop and all other requests.
            _log.exception('Writing a response raised an exception.')
            self._connection.close()

    def _write_any(self, response: CallerResponse) -> None:
        if isinstance(response, Refusal):
            self._write_refusal(response)
        else:
            self._write_response(response)

    def _write_response(self, response: UpstreamResponse) -> None:
        headers = filter_response_headers(response.headers)
        if response.code == HTTPStatus.NO_CONTENT:
            # Tornado refuses to end a response before its declared length.
            headers.pop('Content-Length', None)
        if self._start.method != 'HEAD' and response.code not in BODYLESS_CODES:
            headers['Content-Length'] = str(len(response.body))
        self._write(response.code, response.reason, headers, response.body)

    def _write_refusal(self, refusal: Refusal) -> None:
        encoded = encode_refusal(refusal)
        headers = HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Content-Length': str(len(encoded)),
                OUTCOME_HEADER: str(refusal.outcome),
            },
        )
        if refusal.status == HTTPStatus.UNAUTHORIZED:
            headers['WWW-Authenticate'] = 'Bearer'
        if refusal.retry_after_s is not None:
            headers['Retry-After'] = str(math.ceil(refusal.retry_after_s))
        body = b'' if self._start.method == 'HEAD' else encoded
        reason = HTTPStatus(refusal.status).phrase
        self._write(refusal.status, reason, headers, body)

    def _write(
        self,
        code: int,
        reason: str,
        headers: HTTPHeaders,
        body: bytes,
    ) -> None:
        if self._handler.is_stopping() or not self._is_complete:
            headers['Connection'] = 'close'
        connection = self._connection
        start_line = ResponseStartLine('HTTP/1.1', code, reason)
        written = connection.write_headers(start_line, headers, body)
        # With ``Expect``, the caller has not sent its body yet, and ``finish``
        # keeps Tornado from asking for it with a 100 response.
        if not self._is_complete and 'Expect' not in self._headers:
            # Closing with unread data resets the connection, and the caller
            # could miss the response. The rest of the upload is discarded for
            # a while instead.
            _close_later(connection, _DISCARD_TIMEOUT_S)
            return
        connection.finish()
        if not written.done():
            self._handler.track_write(written)
            _close_on_write_timeout(written, connection)


def _close_on_write_timeout(
    written: asyncio.Future[None],
    connection: HTTP1Connection,
) -> None:
    def give_up() -> None:
        connection.close()
        # Tornado does not resolve the future when it closes the connection,
        # and a planned stop would wait for it forever.
        if not written.done():
            written.set_result(None)

    # Frees the response of a caller that does not read it.
    loop = asyncio.get_running_loop()
    timer = loop.call_later(_WRITE_TIMEOUT_S, give_up)
    written.add_done_callback(lambda _: timer.cancel())


def _close_later(connection: HTTP1Connection, delay_s: float) -> None:
    asyncio.get_running_loop().call_later(delay_s, connection.close)
