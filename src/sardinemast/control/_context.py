"""State and outputs shared by the parts of the control core."""

from collections.abc import Callable
from typing import NamedTuple

from sardinemast.control._events import ControlOutput, SendToEntry
from sardinemast.fleet import Command, FleetState
from sardinemast.protocol import ControlMessage

INTERNAL_REQUEST = 0


class ControlContext(NamedTuple):
    """Hold the replicated state, the outputs and how to propose commands.

    ``propose`` takes a command, the operator's request id or
    ``INTERNAL_REQUEST``, and the time. ``outputs`` are executed in order
    after the step.
    """

    state: FleetState
    outputs: list[ControlOutput]
    propose: Callable[[Command, int, float], None]
    lease_s: float

    def send(self, stream_id: int, message: ControlMessage) -> None:
        """Append a message to an entry to the outputs."""
        self.outputs.append(SendToEntry(stream_id, message))
