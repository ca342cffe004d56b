"""What the desks of a control process share."""

from collections.abc import Callable
from typing import NamedTuple

from sardinemast.control._events import ControlOutput, SendToEntry
from sardinemast.fleet import Command, FleetState
from sardinemast.protocol import ControlMessage

INTERNAL_REQUEST = 0


class ControlContext(NamedTuple):
    """Hold the replicated state and the ways out of the core.

    ``propose`` takes a command, the operator's request id or
    ``INTERNAL_REQUEST``, and the time. ``outputs`` is carried out in order
    after the step.
    """

    state: FleetState
    outputs: list[ControlOutput]
    propose: Callable[[Command, int, float], None]
    lease_s: float

    def send(self, stream_id: int, message: ControlMessage) -> None:
        """Send a message on an entry's stream."""
        self.outputs.append(SendToEntry(stream_id, message))
