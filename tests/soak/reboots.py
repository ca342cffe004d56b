"""Restart workers under their names while calls are under way to them.

Each restart takes the workers, the one that a fault selects first, and times.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import NamedTuple

from tornado.httputil import HTTPServerRequest

from soak.workers import Worker

_CUT_AFTER_S = (0, 0.3, 1.5, 3)
# A run that lasts longer than a lease may outlast the one that a leader knows.
_LONG_MS = 8000
_CUT_MIN_S = 3.0
_LATE_SHARE = 0.6
_LATE_S = (0.5, 8.0)
_SERIES_COUNT = 3


class Times(NamedTuple):
    """Store how long to wait for a call, and when and how long to cut off."""

    wait_s: float
    cut_after_s: float
    cut_s: float


Restart = Callable[[tuple[Worker, ...], Times], Awaitable[None]]


def make_times(number: int, duration_s: float) -> Times:
    """Return the times of a restart; a number selects the time of the cut."""
    cut_after_s = _CUT_AFTER_S[number % len(_CUT_AFTER_S)]
    return Times(duration_s, cut_after_s, _CUT_MIN_S + duration_s)


async def _restart_at_long_start(
    workers: tuple[Worker, ...], times: Times
) -> None:
    """Restart the first worker that is sent the start of a long task."""

    def is_long_start(worker: Worker, request: HTTPServerRequest) -> bool:
        if request.path != '/run-start':
            return False
        duration_ms = json.loads(request.body)['spec'].split(':')[0]
        return int(duration_ms) >= _LONG_MS

    await _restart_at_call(workers, is_long_start, times)


async def _restart_at_start(workers: tuple[Worker, ...], times: Times) -> None:
    """Restart a worker that is sent a start."""

    def is_start(worker: Worker, request: HTTPServerRequest) -> bool:
        return worker is workers[0] and request.path == '/run-start'

    await _restart_at_call(workers, is_start, times)


async def _restart_at_poll(workers: tuple[Worker, ...], times: Times) -> None:
    """Restart a worker that is sent a poll."""

    def is_poll(worker: Worker, request: HTTPServerRequest) -> bool:
        return worker is workers[0] and request.path == '/hold'

    await _restart_at_call(workers, is_poll, times)


async def _restart_in_series(workers: tuple[Worker, ...], times: Times) -> None:
    """Restart a worker some times, each time with a start under way."""
    shorter = Times(*(time_s / _SERIES_COUNT for time_s in times))
    for _ in range(_SERIES_COUNT):
        await _restart_at_start(workers, shorter)


async def _restart_with_late_calls(
    workers: tuple[Worker, ...], times: Times
) -> None:
    """Delay calls to a worker, restart it meanwhile, and then cut it off."""
    worker = workers[0]
    worker.late_s = _LATE_S
    worker.late_share = _LATE_SHARE
    await asyncio.sleep(times.wait_s)
    worker.late_share = 0
    worker.restart()
    worker.is_silent = not times.cut_after_s
    await _cut(worker, times)


async def _restart_at_call(
    workers: tuple[Worker, ...],
    is_awaited: Callable[[Worker, HTTPServerRequest], bool],
    times: Times,
) -> None:
    """Restart a worker when a call arrives, and then cut it off.

    The new boot carries the call out. Without such a call in time the selected
    worker restarts.
    """
    restarted: asyncio.Future[Worker] = (
        asyncio.get_running_loop().create_future()
    )

    async def intercept(worker: Worker, request: HTTPServerRequest) -> None:
        if not restarted.done() and is_awaited(worker, request):
            restarted.set_result(worker)
            worker.restart()
            worker.is_silent = not times.cut_after_s

    for awaited in workers:
        awaited.intercepts.append(intercept)
    await asyncio.wait((restarted,), timeout=times.wait_s)
    for asked in workers:
        asked.intercepts.remove(intercept)
    if not restarted.done():
        workers[0].restart()
        restarted.set_result(workers[0])
    await _cut(restarted.result(), times)


async def _cut(worker: Worker, times: Times) -> None:
    await asyncio.sleep(times.cut_after_s)
    worker.is_silent = True
    await asyncio.sleep(times.cut_s)
    worker.is_silent = False


RESTARTS = MappingProxyType[str, Restart](
    {
        'worker.restart_at_long_start': _restart_at_long_start,
        'worker.restart_at_start': _restart_at_start,
        'worker.restart_at_poll': _restart_at_poll,
        'worker.restart_in_series': _restart_in_series,
        'worker.restart_late': _restart_with_late_calls,
    },
)
