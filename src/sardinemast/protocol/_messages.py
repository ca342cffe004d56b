"""Typed messages of the stream between an entry and the leader."""

from typing import NamedTuple

from sardinemast.fleet import FleetImage
from sardinemast.membership import Announcement
from sardinemast.wire import MessageSet

NEEDS_STATE = -1


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


class GrantRecall(NamedTuple):
    """Ask a holder to go down to an amount as its work ends.

    ``based_on_index`` is the log index of the grant that is meant; a recall
    of an older amount changes nothing.
    """

    team: str
    amount: int
    based_on_index: int


class TeamUse(NamedTuple):
    """Say what a team has waiting and running in a pool at this entry.

    ``used_s`` is all service time used since the entry started; what runs
    now counts up to the moment of the report.
    """

    team: str
    waiting: int
    running: int
    used_s: float


class PoolUse(NamedTuple):
    """Say what this entry does in a pool, and how many slots it sees."""

    pool: str
    capacity_slots: int
    teams: tuple[TeamUse, ...]


class TeamAllotment(NamedTuple):
    """Give a team's fair part of an entry's slots; it may be a fraction."""

    team: str
    slots: float


class PoolAllotment(NamedTuple):
    """Give an entry its part of a pool's slots."""

    pool: str
    slots: int
    teams: tuple[TeamAllotment, ...]


class RenewLease(NamedTuple):
    """Ask for the lease to go on; ``sent_at_s`` is the entry's clock.

    An ``applied_index`` of ``NEEDS_STATE`` asks for the whole state.
    """

    sent_at_s: float
    applied_index: int
    demands: tuple[TeamDemand, ...]
    returns: tuple[GrantReturn, ...]


class ReportDemand(NamedTuple):
    """Tell demand and returns at once, between two renewals."""

    demands: tuple[TeamDemand, ...]
    returns: tuple[GrantReturn, ...]


class ReportPools(NamedTuple):
    """Tell what this entry does in each pool that it uses."""

    pools: tuple[PoolUse, ...]


class ReportUpstreams(NamedTuple):
    """Pass on what upstreams announced, each ``ages_s`` before the sending."""

    announcements: tuple[Announcement, ...]
    ages_s: tuple[float, ...] = ()


class HeardUpstreams(NamedTuple):
    """Renew the leases of upstreams that repeated what the leader knows.

    ``handles`` is made by ``encode_handles`` and belongs to the ``epoch`` of
    the roster that gave them.
    """

    epoch: int
    handles: bytes


class LeaseGranted(NamedTuple):
    """Renew the lease, counted from ``sent_at_s`` on the entry's clock.

    The lease holds only for an entry that has applied ``log_index``: what
    was told to be in force before the grant is in force with it.
    """

    sent_at_s: float
    duration_s: float
    log_index: int = 0


class StateReplaced(NamedTuple):
    """Send the whole state, at the start of a stream."""

    image: FleetImage


class AppliedCommand(NamedTuple):
    """Hold one committed command at its index."""

    log_index: int
    payload: bytes

    def __repr__(self) -> str:
        """Leave the payload out; it may hold a key's digest."""
        size_bytes = len(self.payload)
        return f'AppliedCommand({self.log_index}, {size_bytes} bytes)'


class StateChanged(NamedTuple):
    """Send what was committed since the last message.

    ``commands`` holds what changes the entry's state. It follows on
    ``previous_index`` and brings the entry to ``log_index``.
    """

    commands: tuple[AppliedCommand, ...]
    previous_index: int = 0
    log_index: int = 0


class RosterChanged(NamedTuple):
    """Send a snapshot of the roster of upstreams, or a change to it.

    ``handles`` are those of ``announcements``, in the same order, and
    ``removed_handles`` those of upstreams that left the roster. A snapshot
    is incomplete while a new leader has not heard from all upstreams yet.
    """

    announcements: tuple[Announcement, ...]
    handles: tuple[int, ...] = ()
    removed_handles: tuple[int, ...] = ()
    epoch: int = 0
    is_snapshot: bool = True
    is_complete: bool = True


class RecallGrants(NamedTuple):
    """Ask for grants that other entries wait for."""

    recalls: tuple[GrantRecall, ...]


class AllotSlots(NamedTuple):
    """Give an entry its parts of the pools that it uses."""

    pools: tuple[PoolAllotment, ...]


class NotLeader(NamedTuple):
    """Tell the entry to go to another control process."""

    leader: str


EntryMessage = (
    RenewLease | ReportDemand | ReportPools | ReportUpstreams | HeardUpstreams
)
ControlMessage = (
    LeaseGranted
    | StateReplaced
    | StateChanged
    | RosterChanged
    | RecallGrants
    | AllotSlots
    | NotLeader
)
ENTRY_MESSAGES = MessageSet(
    RenewLease,
    ReportDemand,
    ReportPools,
    ReportUpstreams,
    HeardUpstreams,
)
CONTROL_MESSAGES = MessageSet(
    LeaseGranted,
    StateReplaced,
    StateChanged,
    RosterChanged,
    RecallGrants,
    AllotSlots,
    NotLeader,
)
