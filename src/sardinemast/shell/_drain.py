"""Planned stop of an entry: finish what was taken, then leave."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from logbook import Logger
from tornado.httpserver import HTTPServer

from sardinemast.entry import EntryCore

_log = Logger('entry')
_POLL_S = 0.02
# For this long the balancer can see that the entry is not ready, and callers
# are told to go elsewhere, before connections are closed under them.
_LINGER_S = 0.5
_DRAIN_TIMEOUT_S = 60.0
_RETURN_TIMEOUT_S = 2.0


class Drainable(Protocol):
    """Say what a planned stop needs of the entry."""

    core: EntryCore

    def start_stopping(self) -> None:
        """Refuse new requests from now on."""

    def is_busy(self) -> bool:
        """Tell whether a caller waits for an answer, or for a part of it."""


async def drain(entry_server: Drainable, server: HTTPServer) -> None:
    """Finish all requests, give back the grants, and close the port."""
    _log.info('Entry stops.')
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
        await asyncio.sleep(_POLL_S)
