"""One connection to an upstream, with one exchange at a time."""

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
# An upstream that goes on sending heads before the final one never answers.
_MAX_HEADS = 10
BODYLESS_CODES = frozenset((204, 304))
_KEEP_ALIVE_VERSION = '1.1'
_ENCODING = 'latin-1'

Header = tuple[str, str]


class RawRequest(NamedTuple):
    """Hold a whole request as bytes; the answer to HEAD has no body."""

    encoded: bytes
    is_head: bool = False


class RawResponse(NamedTuple):
    """Hold a whole answer."""

    code: int
    reason: str
    headers: tuple[Header, ...]
    body: bytes


class HttpConnection(asyncio.Protocol):
    """Write one request after the other, and collect each whole answer.

    Bytes or an end that come while nothing was asked belong to no request.
    The next caller would get them as its own answer, so that the connection
    is not used again.
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
        """Connect, or raise ``OSError``."""
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
        """Tell whether the connection may carry another exchange."""
        return self._may_reuse and self._response_future is None

    def has_no_pending_input(self) -> bool:
        """Tell whether nothing has come, neither a byte nor the end."""
        if not self._may_reuse or self._socket is None:
            return False
        try:
            # What has come may not have been read by the event loop yet.
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, request: RawRequest) -> asyncio.Future[RawResponse | None]:
        """Write a request; what is given has no answer where it broke off."""
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
        """End an exchange that has taken too long with ``TimeoutError``."""
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_exception(TimeoutError())
        self._may_reuse = False

    def close(self) -> None:
        """Close at once; an exchange that is under way breaks off."""
        self._may_reuse = False
        if self._transport is not None:
            self._transport.abort()
        self._resolve(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Note that nothing more can come."""
        self._may_reuse = False
        self._socket = None
        self._resolve(None)

    def data_received(self, chunk: bytes) -> None:
        """Parse what has come."""
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
            # No answer; behind a whole one it spoils the connection alone.
            self.close()
        if self._unparsed_bytes > MAX_HEAD_BYTES and not self._has_head:
            self.close()

    def on_message_begin(self) -> None:
        """Begin an answer; one that nobody asked for spoils the rest."""
        self._head_count += 1
        self._reset_response()
        if self._response_future is None or self._head_count > _MAX_HEADS:
            self.close()

    def on_status(self, reason: bytes) -> None:
        """Take a part of the reason."""
        self._reason += reason

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        self._headers.append((name.decode(_ENCODING), text.decode(_ENCODING)))
        self._head_bytes += len(name) + len(text)
        if self._head_bytes > MAX_HEAD_BYTES:
            self.close()

    def on_headers_complete(self) -> None:
        """Check that the answer says where it ends."""
        self._code = self._parser.get_status_code()
        if self._code < _FIRST_FINAL_CODE:
            return
        self._has_head = True
        if self._is_head:
            # The parser would wait for a body that does not come.
            self._may_reuse = False
            self._complete_response()
        elif not self._has_valid_framing():
            self.close()

    def on_body(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._body += chunk
        if len(self._body) > MAX_RESPONSE_BYTES:
            self.close()

    def on_message_complete(self) -> None:
        """Hand the answer over, if it is the final one."""
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
        # A body that ends with the connection looks whole when it is cut.
        if self._code in BODYLESS_CODES:
            return True
        headers = {name.lower(): text for name, text in self._headers}
        if 'transfer-encoding' in headers:
            return 'content-length' not in headers
        with suppress(KeyError, ValueError):
            return int(headers['content-length']) <= MAX_RESPONSE_BYTES
        return False

    def _complete_response(self) -> None:
        # An answer to a request that is still on its way is no answer to the
        # whole of it: it may belong to an exchange before, or to a part.
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
    # Packets that a broken path swallows are never acknowledged. The system
    # then ends the connection, also while the upstream works on.
    new_socket.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _TCP_USER_TIMEOUT_MS,
    )
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return new_socket
