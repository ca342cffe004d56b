"""Pools of connections to upstreams, reused only while recently active."""

import time
from collections import deque

from sardinemast.membership import Announcement
from sardinemast.shell._http_connection import HttpConnection

MAX_IDLE_S = 2.0


class ConnectionPool:
    """Hold the connections to one incarnation of an upstream."""

    def __init__(self, upstream: Announcement) -> None:
        self.upstream = upstream
        self._idle: deque[HttpConnection] = deque()
        self._open: set[HttpConnection] = set()
        self._opening = 0
        self._is_closed = False

    def matches(self, upstream: Announcement) -> bool:
        """Check whether the pool is for this incarnation and address."""
        current = self.upstream
        return (current.incarnation, current.host, current.port) == (
            upstream.incarnation,
            upstream.host,
            upstream.port,
        )

    def take_idle(self) -> HttpConnection | None:
        """Return the most recently used idle connection, if still fresh.

        A firewall or NAT may have dropped an older one; a request sent on it
        would wait until its deadline and end with an unknown outcome.
        """
        self.drop_stale(time.monotonic())
        while self._idle:
            connection = self._idle.pop()
            if connection.has_no_pending_input():
                connection.is_reused = True
                return connection
            self.drop(connection)
        return None

    async def open(self, limit: int) -> HttpConnection:
        """Open a connection, or raise ``OSError``."""
        if len(self._open) + self._opening >= limit:
            raise ConnectionError(
                'The connection limit of the upstream is reached.'
            )
        self._opening += 1
        try:
            connection = await HttpConnection.connect(
                self.upstream.host,
                self.upstream.port,
            )
        finally:
            self._opening -= 1
        self._open.add(connection)
        return connection

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if self._is_closed or not connection.may_reuse:
            self.drop(connection)
            return
        connection.idle_since_s = time.monotonic()
        self._idle.append(connection)

    def drop(self, connection: HttpConnection) -> None:
        """Close a connection and remove it from the pool."""
        self._open.discard(connection)
        connection.close()

    def drop_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self.drop(self._idle.pop())

    def drop_stale(self, now_s: float) -> None:
        """Close connections that have been idle for too long."""
        while self._idle and self._idle[0].idle_since_s < now_s - MAX_IDLE_S:
            self.drop(self._idle.popleft())

    def close(self) -> None:
        """Close idle connections now and the others when released."""
        self._is_closed = True
        self.drop_idle()
