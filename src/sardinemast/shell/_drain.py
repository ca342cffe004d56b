"""Planned stop of an entry: finish accepted requests, then close."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from logbook import Logger
from tornado.httpserver import HTTPServer

from sardinemast.entry import EntryCore

_log = Logger('entry')
_POLL_INTERVAL_S = 0.02
# Lets the load balancer notice that the entry is not ready while the port is
# still open.
_LINGER_S = 0.5
_DRAIN_TIMEOUT_S = 60.0
_RETURN_TIMEOUT_S = 2.0


class Drainable(Protocol):
    """Define what a planned stop requires from the entry."""

    core: EntryCore

    def start_stopping(self) -> None:
        """Begin a planned stop: refuse new requests from now on."""

    def is_busy(self) -> bool:
        """Check whether a request or the write of a response is pending."""


async def drain(entry_server: Drainable, server: HTTPServer) -> None:
    """Finish pending requests, return the grants and close the port."""
    _log.info('Entry is stopping.')
    entry_server.start_stopping()
    await asyncio.sleep(_LINGER_S)
    await _wait_while(entry_server.is_busy, _DRAIN_TIMEOUT_S)
    server.stop()
    await _return_grants(entry_server)
    await server.close_all_connections()
    _log.info('Entry has stopped.')


async def _return_grants(entry_server: Drainable) -> None:
    entry_server.core.start_returning_grants()
    await _wait_while(entry_server.core.holds_grants, _RETURN_TIMEOUT_S)


async def _wait_while(condition: Callable[[], bool], timeout_s: float) -> None:
    deadline_s = time.monotonic() + timeout_s
    while condition() and time.monotonic() < deadline_s:
        await asyncio.sleep(_POLL_INTERVAL_S)
