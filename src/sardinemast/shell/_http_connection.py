"""HTTP/1.1 connection to an upstream, with one exchange at a time."""

import asyncio
import socket
from contextlib import suppress
from typing import NamedTuple, Self

from httptools import (
    HttpParserCallbackError,
    HttpParserError,
    HttpParserUpgrade,
    HttpResponseParser,
)

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_HEAD_BYTES = 32768
_TCP_USER_TIMEOUT_MS = 2000
_FIRST_FINAL_CODE = 200
# Bounds interim (1xx) responses before the final one.
_MAX_HEADS = 10
BODYLESS_CODES = frozenset((204, 304))
_KEEP_ALIVE_VERSION = '1.1'
_ENCODING = 'latin-1'

Header = tuple[str, str]


class RawRequest(NamedTuple):
    """Hold an encoded request; a response to HEAD has no body."""

    encoded: bytes
    is_head: bool = False


class RawResponse(NamedTuple):
    """Hold a complete response."""

    code: int
    reason: str
    headers: tuple[Header, ...]
    body: bytes


class HttpConnection(asyncio.Protocol):
    """Send requests one after the other and collect each complete response.

    A connection that receives data or is closed while no request is pending
    is not reused: the next caller could get the response to another request.
    """

    def __init__(self) -> None:
        self.is_reused = False
        self.idle_since_s: float = 0
        self._socket: socket.socket | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = HttpResponseParser(self)
        self._response_future: asyncio.Future[RawResponse | None] | None = None
        self._is_head = False
        self._may_reuse = True
        self._head_count = 0
        self._reset_response()

    @classmethod
    async def connect(cls, host: str, port: int) -> Self:
        """Open a connection, or raise ``OSError``."""
        loop = asyncio.get_running_loop()
        new_socket = _make_socket()
        connection = cls()
        connection._socket = new_socket
        try:
            await loop.sock_connect(new_socket, (host, port))
            await loop.create_connection(lambda: connection, sock=new_socket)
        except BaseException:
            new_socket.close()
            raise
        return connection

    @property
    def may_reuse(self) -> bool:
        """Check whether the connection may be used for another exchange."""
        return self._may_reuse and self._response_future is None

    def has_no_pending_input(self) -> bool:
        """Check whether neither data nor a close has arrived."""
        if not self._may_reuse or self._socket is None:
            return False
        try:
            # Data may have arrived that the event loop has not read yet.
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, request: RawRequest) -> asyncio.Future[RawResponse | None]:
        """Send a request; the result is ``None`` if the exchange fails."""
        response_future = asyncio.get_running_loop().create_future()
        if self._transport is None or self._transport.is_closing():
            response_future.set_result(None)
            return response_future
        self._response_future = response_future
        self._is_head = request.is_head
        self._head_count = 0
        self._reset_response()
        self._transport.write(request.encoded)
        return response_future

    def time_out(self) -> None:
        """Fail the pending exchange with ``TimeoutError``."""
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_exception(TimeoutError())
        self._may_reuse = False

    def close(self) -> None:
        """Close immediately; a pending exchange fails."""
        self._may_reuse = False
        if self._transport is not None:
            self._transport.abort()
        self._resolve(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Fail a pending exchange and prevent reuse."""
        self._may_reuse = False
        self._socket = None
        self._resolve(None)

    def data_received(self, chunk: bytes) -> None:
        """Parse received data."""
        if self._response_future is None:
            self.close()
            return
        if not self._has_head:
            self._unparsed_bytes += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except HttpParserCallbackError:
            self.close()
            raise
        except (HttpParserError, HttpParserUpgrade):
            # A response that is already complete has been delivered and stays
            # valid; otherwise the exchange fails.
            self.close()
        if self._unparsed_bytes > MAX_HEAD_BYTES and not self._has_head:
            self.close()

    def on_message_begin(self) -> None:
        """Begin a response; close the connection if none is expected."""
        self._head_count += 1
        self._reset_response()
        if self._response_future is None or self._head_count > _MAX_HEADS:
            self.close()

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header, up to the size limit."""
        self._headers.append((name.decode(_ENCODING), text.decode(_ENCODING)))
        self._head_bytes += len(name) + len(text)
        if self._head_bytes > MAX_HEAD_BYTES:
            self.close()

    def on_headers_complete(self) -> None:
        """Check that the response declares where its body ends."""
        self._code = self._parser.get_status_code()
        if self._code < _FIRST_FINAL_CODE:
            return
        self._has_head = True
        if self._is_head:
            # The parser would wait for a body that HEAD does not have.
            self._may_reuse = False
            self._complete_response()
        elif not self._has_valid_framing():
            self.close()

    def on_body(self, chunk: bytes) -> None:
        """Append to the body, up to the size limit."""
        self._body += chunk
        if len(self._body) > MAX_RESPONSE_BYTES:
            self.close()

    def on_message_complete(self) -> None:
        """Complete the exchange if the response is the final one."""
        if self._code < _FIRST_FINAL_CODE or self._is_head:
            return
        is_keep_alive = self._parser.should_keep_alive()
        if (
            not is_keep_alive
            or self._parser.get_http_version() != _KEEP_ALIVE_VERSION
        ):
            self._may_reuse = False
        self._complete_response()

    def _reset_response(self) -> None:
        self._code = 0
        self._reason = b''
        self._headers: list[Header] = []
        self._body = bytearray()
        self._has_head = False
        self._head_bytes = 0
        self._unparsed_bytes = 0

    def _has_valid_framing(self) -> bool:
        # A body that is delimited by the close of the connection is rejected:
        # truncation could not be detected.
        if self._code in BODYLESS_CODES:
            return True
        headers = {name.lower(): text for name, text in self._headers}
        if 'transfer-encoding' in headers:
            return 'content-length' not in headers
        with suppress(KeyError, ValueError):
            return int(headers['content-length']) <= MAX_RESPONSE_BYTES
        return False

    def _complete_response(self) -> None:
        # A response before the request has been sent completely may belong to
        # an earlier exchange or answer a part of the request only.
        if self._transport is None or self._transport.get_write_buffer_size():
            self.close()
            return
        self._resolve(
            RawResponse(
                self._code,
                self._reason.decode(_ENCODING),
                tuple(self._headers),
                bytes(self._body),
            ),
        )

    def _resolve(self, response: RawResponse | None) -> None:
        response_future = self._response_future
        self._response_future = None
        if response_future is not None and not response_future.done():
            response_future.set_result(response)


def _make_socket() -> socket.socket:
    new_socket = socket.socket()
    new_socket.setblocking(False)
    # Closes a connection whose data is not acknowledged, as after the loss of
    # the network path.
    new_socket.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _TCP_USER_TIMEOUT_MS,
    )
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return new_socket
