"""Typed messages of the stream between an entry and the leader."""

from typing import NamedTuple

from sardinemast.fleet import FleetImage
from sardinemast.membership import Announcement
from sardinemast.wire import MessageSet


class TeamDemand(NamedTuple):
    """Say how much a team wants to run at this entry, and runs now."""

    team: str
    wanted: int
    running: int


class GrantReturn(NamedTuple):
    """Give back what is not needed.

    ``based_on_index`` is the log index of the amount that the entry knew, so
    that a return that crossed a newer grant changes nothing.
    """

    team: str
    amount: int
    based_on_index: int


class RenewLease(NamedTuple):
    """Ask for the lease to go on; ``sent_at_s`` is the entry's clock."""

    sent_at_s: float
    applied_index: int
    demands: tuple[TeamDemand, ...]
    returns: tuple[GrantReturn, ...]


class ReportUpstreams(NamedTuple):
    """Pass on what upstreams announced to this entry."""

    announcements: tuple[Announcement, ...]


class LeaseGranted(NamedTuple):
    """Renew the lease, counted from ``sent_at_s`` on the entry's clock."""

    sent_at_s: float
    duration_s: float


class StateReplaced(NamedTuple):
    """Send the whole state, at the start of a stream."""

    image: FleetImage


class AppliedCommand(NamedTuple):
    """Hold one committed command at its index."""

    log_index: int
    payload: bytes


class StateChanged(NamedTuple):
    """Send the commands committed since the last message."""

    commands: tuple[AppliedCommand, ...]


class RosterChanged(NamedTuple):
    """Send all upstreams that are there."""

    announcements: tuple[Announcement, ...]


class NotLeader(NamedTuple):
    """Tell the entry to go to another control process."""

    leader: str


EntryMessage = RenewLease | ReportUpstreams
ControlMessage = (
    LeaseGranted | StateReplaced | StateChanged | RosterChanged | NotLeader
)
ENTRY_MESSAGES = MessageSet(RenewLease, ReportUpstreams)
CONTROL_MESSAGES = MessageSet(
    LeaseGranted,
    StateReplaced,
    StateChanged,
    RosterChanged,
    NotLeader,
)
