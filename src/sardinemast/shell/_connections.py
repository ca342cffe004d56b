"""Connections to upstreams, kept only while they show life."""

import asyncio
import socket
import time
from collections import deque
from collections.abc import Awaitable
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from sardinemast.membership import Announcement

FRESH_S = 2.0
MAX_HEAD_BYTES = 32768
_READ_CHUNK_BYTES = 8192
_UNACKNOWLEDGED_MS = 2000


class UpstreamStream(IOStream):
    """Read one byte ahead while idle, so that no stray byte goes unseen.

    An upstream that sends more than its answer, or answers late, leaves bytes
    on the connection. The next caller would get them as its own answer. The
    byte read ahead tells that apart: before a request is written it must not
    have arrived.
    """

    def __init__(self) -> None:
        super().__init__(
            socket.socket(),
            read_chunk_size=_READ_CHUNK_BYTES,
        )
        self.is_reused = False
        self.idle_since_s: float = 0
        self.first_byte: asyncio.Future[bytes] | None = None
        # Packets that a broken path swallows are never acknowledged. The
        # system then ends the connection, also while the upstream works on.
        self.socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _UNACKNOWLEDGED_MS,
        )
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def watch(self) -> None:
        """Read ahead; the next answer starts with the byte."""
        self.first_byte = asyncio.ensure_future(self.read_bytes(1))

    def is_silent(self) -> bool:
        """Tell whether nothing has come, neither a byte nor the end."""
        if self.closed() or self.first_byte is None or self.first_byte.done():
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def read_until_regex(
        self,
        regex: Any,
        max_bytes: int | None = None,
    ) -> Awaitable[bytes]:
        """Read a head, beginning with the byte that was read ahead."""
        first_byte = self.first_byte
        self.first_byte = None
        if first_byte is None:
            return super().read_until_regex(regex, max_bytes)
        return self._read_rest(first_byte, regex, max_bytes)

    def set_nodelay(self, value: bool) -> None:
        """Keep the option as it was set at the start."""

    async def _read_rest(
        self,
        first_byte: asyncio.Future[bytes],
        regex: Any,
        max_bytes: int | None,
    ) -> bytes:
        head = await first_byte
        return head + await self.read_until_regex(regex, max_bytes)


class ConnectionPool:
    """Hold the connections to one incarnation of one upstream."""

    def __init__(self, upstream: Announcement) -> None:
        self.upstream = upstream
        self._idle: deque[UpstreamStream] = deque()
        self._open: set[UpstreamStream] = set()
        self._is_closed = False

    def is_for(self, upstream: Announcement) -> bool:
        """Tell whether the connections lead to this start of the upstream."""
        own = self.upstream
        return (own.incarnation, own.host, own.port) == (
            upstream.incarnation,
            upstream.host,
            upstream.port,
        )

    def take_idle(self) -> UpstreamStream | None:
        """Give the connection that showed life last, if that was lately.

        What lies between may have lost track of an older one; a request
        sent on it would wait for its deadline and end as unknown.
        """
        self.drop_stale(time.monotonic())
        while self._idle:
            stream = self._idle.pop()
            if stream.is_silent():
                stream.is_reused = True
                return stream
            self.drop(stream)
        return None

    async def open(self, limit: int) -> UpstreamStream:
        """Connect anew, or raise ``OSError``."""
        if len(self._open) >= limit:
            raise ConnectionError('All connections are in use.')
        stream = UpstreamStream()
        self._open.add(stream)
        try:
            await stream.connect((self.upstream.host, self.upstream.port))
            stream.watch()
        except BaseException:
            self.drop(stream)
            raise
        return stream

    def give_back(self, stream: UpstreamStream) -> None:
        """Keep a connection whose exchange is whole."""
        if self._is_closed or stream.closed():
            self.drop(stream)
            return
        try:
            stream.watch()
        except StreamClosedError:
            self.drop(stream)
            return
        stream.idle_since_s = time.monotonic()
        self._idle.append(stream)

    def drop(self, stream: UpstreamStream) -> None:
        """Close a connection."""
        self._open.discard(stream)
        stream.close()

    def drop_idle(self) -> None:
        """Close all connections without an exchange."""
        while self._idle:
            self.drop(self._idle.pop())

    def drop_stale(self, now_s: float) -> None:
        """Close what has shown no life for long."""
        while self._idle and self._idle[0].idle_since_s < now_s - FRESH_S:
            self.drop(self._idle.popleft())

    def close(self) -> None:
        """Close what is idle, and the rest as its exchanges end."""
        self._is_closed = True
        self.drop_idle()
