"""Outcomes of the leader's orders that cannot be sent as intended."""

import asyncio
import time

import pytest

from builders.workers import make_worker
from sardinemast.conf import Address
from sardinemast.control import ControlEvent
from sardinemast.dispatch import (
    AdviceAnswered,
    DispatchOutput,
    MaintenanceAnswered,
    MoveAnswered,
    OrderMaintenance,
    OrderMove,
    OrderOutcome,
    PollWorker,
    RequestAdvice,
    StartAnswered,
    StartRun,
    WorkerPolled,
)
from sardinemast.jobs import StepKey, TaskKey
from sardinemast.platform._gateway import PlatformGateway

# Connecting to this port raises an OverflowError, and no OSError.
_INVALID_PORT = 99_999
_SERVICE = Address('127.0.0.1', _INVALID_PORT)
_WORKER = make_worker(1)._replace(address=f'127.0.0.1:{_INVALID_PORT}')
_TASK = TaskKey('job', 0, 0, 0)
_STEP = StepKey('job', 0, 0)
_TIMEOUT_S = 0.5
_UNKNOWN = OrderOutcome.unknown


def _send(order: DispatchOutput) -> list[ControlEvent]:
    """Return the events that follow an order."""
    events: list[ControlEvent] = []

    async def send() -> None:
        gateway = PlatformGateway('10.0.0.1', _SERVICE, _SERVICE)
        gateway.send(order, time.monotonic() + 5, events.append)
        async with asyncio.timeout(5):
            await asyncio.gather(*gateway._tasks, return_exceptions=True)

    asyncio.run(send())
    return events


@pytest.mark.parametrize(
    ('order', 'expected'),
    [
        (
            PollWorker(_WORKER, 3, 0, None, 0, _TIMEOUT_S, 1),
            WorkerPolled('w-1', 3, 1, _UNKNOWN),
        ),
        (
            StartRun(_WORKER, _TASK, 2, 3, 0, '', '', _TIMEOUT_S),
            StartAnswered('w-1', _TASK, 2, _UNKNOWN),
        ),
        (
            OrderMaintenance('m-1', 4, 3, 7, _TIMEOUT_S),
            MaintenanceAnswered('m-1', 4, 7, _UNKNOWN),
        ),
        (
            OrderMove('m-1', 'booking', 3, _TIMEOUT_S),
            MoveAnswered('m-1', 'booking', _UNKNOWN),
        ),
        (
            RequestAdvice(_STEP, (_WORKER,), 1, _TIMEOUT_S),
            AdviceAnswered(_STEP, is_answered=False),
        ),
    ],
)
def test_order_that_raises_has_an_outcome(
    order: DispatchOutput, expected: ControlEvent
) -> None:
    """Guard against orders that stay pending until the end of the term.

    The leader polls a worker again, and requests further tickets, only after
    the outcome of the order before. So the capacity would stay unused.
    """
    assert _send(order) == [expected]
