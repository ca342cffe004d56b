"""Input events and outputs of an entry's core."""

from typing import NamedTuple

from sardinemast.admission import Arrival, Refusal
from sardinemast.membership import Announcement
from sardinemast.protocol import ControlMessage, EntryMessage
from sardinemast.routing import AttemptResult, StartAttempt


class Tick(NamedTuple):
    """Trigger the core's periodic work."""


class RequestArrived(NamedTuple):
    """Report that a caller's request has been received completely."""

    arrival: Arrival


class CallerDisconnected(NamedTuple):
    """Report that the caller no longer waits for the answer."""

    request_id: int


class AttemptEnded(NamedTuple):
    """Report the result of an attempt at an upstream."""

    request_id: int
    attempt_result: AttemptResult


class UpstreamAnnounced(NamedTuple):
    """Report an announcement received from an upstream."""

    announcement: Announcement


class ControlReceived(NamedTuple):
    """Report a message received from the leader."""

    message: ControlMessage


class ControlDisconnected(NamedTuple):
    """Report that the stream to the leader has ended."""


class ForwardAnswer(NamedTuple):
    """Forward the upstream's answer to the caller."""

    request_id: int


class RefuseRequest(NamedTuple):
    """Answer the caller with a final refusal."""

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
