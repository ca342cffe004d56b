"""What goes into an entry's core and what comes out of it."""

from enum import StrEnum
from typing import NamedTuple

from sardinemast.admission import Arrival, Refusal
from sardinemast.membership import Announcement
from sardinemast.protocol import ControlMessage, EntryMessage


class AttemptResult(StrEnum):
    """Tell how an attempt at an upstream ended.

    ``not_sent`` may be said only where no byte of the request can have left.
    ``broken`` and ``timed_out`` mean that the upstream may still run it.
    """

    answered = 'answered'
    not_sent = 'not sent'
    broken = 'broken'
    timed_out = 'timed out'


class Tick(NamedTuple):
    """Tell the core that time has passed."""


class RequestArrived(NamedTuple):
    """Hand over a caller's whole request."""

    arrival: Arrival


class CallerLeft(NamedTuple):
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


class ControlLost(NamedTuple):
    """Tell that the stream to the leader has ended."""


class StartAttempt(NamedTuple):
    """Send the request to the upstream, and stop at the timeout."""

    request_id: int
    upstream: Announcement
    timeout_s: float


class PassAnswer(NamedTuple):
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
    | CallerLeft
    | AttemptEnded
    | UpstreamAnnounced
    | ControlReceived
    | ControlLost
)
EntryOutput = StartAttempt | PassAnswer | RefuseRequest | SendToControl
