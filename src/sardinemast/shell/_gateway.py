"""Interface through which the leader sends orders to workers."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from sardinemast.control import ControlEvent, make_failed_event
from sardinemast.dispatch import (
    DispatchOutput,
    DispatchSettings,
    OrderOutcome,
)
from sardinemast.metrics import ProcessMetrics
from sardinemast.shell._relay import LeaderRelay


class WorkerGateway(Protocol):
    """Send orders to workers and to the service that manages instances.

    ``send`` returns immediately. The outcome is passed to ``put_event`` later,
    also if there is no answer. Nothing is sent once the monotonic clock has
    passed ``valid_until_s``.
    """

    def send(
        self,
        order: DispatchOutput,
        valid_until_s: float,
        put_event: Callable[[ControlEvent], None],
    ) -> None:
        """Send one order."""


class NoWorkers:
    """Report each order as not sent, for a fleet without workers."""

    def send(
        self,
        order: DispatchOutput,
        valid_until_s: float,
        put_event: Callable[[ControlEvent], None],
    ) -> None:
        """Report that the order was not sent."""
        unsent = make_failed_event(order, OrderOutcome.not_sent)
        if unsent is not None:
            put_event(unsent)


class ControlExtras(NamedTuple):
    """Hold optional parts of a control process.

    With a ``relay`` to the leader, it also forwards calls from entries.
    """

    gateway: WorkerGateway = NoWorkers()
    dispatching: DispatchSettings = DispatchSettings()
    metrics: ProcessMetrics | None = None
    relay: LeaderRelay | None = None


NO_EXTRAS = ControlExtras()
