"""Way from the leader's orders to the workers."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from sardinemast.control import ControlEvent, make_not_sent_event
from sardinemast.dispatch import DispatchOutput, DispatchSettings
from sardinemast.metrics import ProcessMetrics
from sardinemast.shell._relay import LeaderRelay


class WorkerGateway(Protocol):
    """Carry orders to workers and to whoever runs the instances.

    ``send`` returns at once. It hands the answer to ``put_event`` later, also
    where there is none, and writes nothing once ``valid_until_s`` has passed
    on the monotonic clock.
    """

    def send(
        self,
        order: DispatchOutput,
        valid_until_s: float,
        put_event: Callable[[ControlEvent], None],
    ) -> None:
        """Send one order."""


class NoWorkers:
    """Answer for a fleet without workers that nothing was sent."""

    def send(
        self,
        order: DispatchOutput,
        valid_until_s: float,
        put_event: Callable[[ControlEvent], None],
    ) -> None:
        """Send nothing."""
        unsent = make_not_sent_event(order)
        if unsent is not None:
            put_event(unsent)


class ControlExtras(NamedTuple):
    """Hold what a control process is given besides its settings.

    With a ``relay`` to the leader it also passes calls of entries on.
    """

    gateway: WorkerGateway = NoWorkers()
    dispatching: DispatchSettings = DispatchSettings()
    metrics: ProcessMetrics | None = None
    relay: LeaderRelay | None = None


NO_EXTRAS = ControlExtras()
