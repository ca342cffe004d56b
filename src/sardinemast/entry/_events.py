"""What goes into an entry's core and what comes out of it."""

from typing import NamedTuple

from sardinemast.admission import Arrival, Refusal
from sardinemast.membership import Announcement
from sardinemast.protocol import ControlMessage, EntryMessage
from sardinemast.routing import AttemptResult, StartAttempt


class Tick(NamedTuple):
    """Tell the core that time has passed."""


class RequestArrived(NamedTuple):
    """Hand over a caller's whole request."""

    arrival: Arrival


class CallerDisconnected(NamedTuple):
    """Tell that nobody waits for the answer any more."""

    request_id: int


class AttemptEnded(NamedTuple):
    """Tell how an attempt ended."""

    request_id: int
    attempt_result: AttemptResult


class UpstreamAnnounced(NamedTuple):
    """Hand over an upstream's announcement."""

    announcement: Announcement


class ControlReceived(NamedTuple):
    """Hand over a message of the leader."""

    message: ControlMessage


class ControlDisconnected(NamedTuple):
    """Tell that the stream to the leader has ended."""


class ForwardAnswer(NamedTuple):
    """Give the upstream's answer to the caller."""

    request_id: int


class RefuseRequest(NamedTuple):
    """Give the final refusal to the caller."""

    request_id: int
    refusal: Refusal


class SendToControl(NamedTuple):
    """Send a message on the stream to the leader."""

    message: EntryMessage


EntryEvent = (
    Tick
    | RequestArrived
    | CallerDisconnected
    | AttemptEnded
    | UpstreamAnnounced
    | ControlReceived
    | ControlDisconnected
)
EntryOutput = StartAttempt | ForwardAnswer | RefuseRequest | SendToControl
