"""Typed messages of the stream between an entry and the leader."""

from typing import NamedTuple

from sardinemast.fleet import FleetImage
from sardinemast.membership import Announcement
from sardinemast.wire import MessageSet

NEEDS_STATE = -1


class TeamDemand(NamedTuple):
    """Report how many requests of a team could run and do run at an entry."""

    team: str
    wanted: int
    running: int


class GrantReturn(NamedTuple):
    """Return a part of a grant; ``amount`` is what the entry keeps.

    ``based_on_index`` is the log index of the grant that the entry knew. A
    return is ignored if the grant has changed since.
    """

    team: str
    amount: int
    based_on_index: int


class GrantRecall(NamedTuple):
    """Ask a holder to reduce its grant to an amount as requests end.

    ``based_on_index`` is the log index of the grant to reduce. A recall is
    ignored if the grant has changed since.
    """

    team: str
    amount: int
    based_on_index: int


class TeamUse(NamedTuple):
    """Report a team's waiting and running requests in a pool at an entry.

    ``used_s`` is the total service time since the entry started, including
    the elapsed time of running requests.
    """

    team: str
    waiting: int
    running: int
    used_s: float


class PoolUse(NamedTuple):
    """Report an entry's use of a pool and the slots that it knows of."""

    pool: str
    capacity_slots: int
    teams: tuple[TeamUse, ...]


class TeamAllotment(NamedTuple):
    """Hold a team's fair share of an entry's slots; it may be fractional."""

    team: str
    slots: float


class PoolAllotment(NamedTuple):
    """Hold an entry's slots of a pool, and the teams' shares of them."""

    pool: str
    slots: int
    teams: tuple[TeamAllotment, ...]


class RenewLease(NamedTuple):
    """Request a lease renewal; ``sent_at_s`` is by the entry's clock.

    An ``applied_index`` of ``NEEDS_STATE`` requests the whole state.
    """

    sent_at_s: float
    applied_index: int
    demands: tuple[TeamDemand, ...]
    returns: tuple[GrantReturn, ...]


class ReportDemand(NamedTuple):
    """Report demand and returns between two lease renewals."""

    demands: tuple[TeamDemand, ...]
    returns: tuple[GrantReturn, ...]


class ReportPools(NamedTuple):
    """Report an entry's use of each pool that it uses."""

    pools: tuple[PoolUse, ...]


class ReportUpstreams(NamedTuple):
    """Forward announcements of upstreams, each received ``ages_s`` ago."""

    announcements: tuple[Announcement, ...]
    ages_s: tuple[float, ...] = ()


class HeardUpstreams(NamedTuple):
    """Renew the leases of upstreams whose announcements are unchanged.

    ``handles`` is encoded by ``encode_handles``; the handles were assigned by
    the leader of the roster's ``epoch``.
    """

    epoch: int
    handles: bytes


class LeaseGranted(NamedTuple):
    """Grant a lease that starts at ``sent_at_s`` on the entry's clock.

    It is valid only once the entry has applied ``log_index``. An entry with a
    lease thus applies all changes reported as in force before the grant.
    """

    sent_at_s: float
    duration_s: float
    log_index: int = 0


class StateReplaced(NamedTuple):
    """Send the whole state, at the start of a stream or on request."""

    image: FleetImage


class AppliedCommand(NamedTuple):
    """Hold a committed command and its log index."""

    log_index: int
    payload: bytes

    def __repr__(self) -> str:
        """Omit the payload, as it may contain the digest of a key."""
        size_bytes = len(self.payload)
        return f'AppliedCommand({self.log_index}, {size_bytes} bytes)'


class StateChanged(NamedTuple):
    """Send the commands committed since the last message.

    ``commands`` holds those that concern the entry. They apply to the state
    at ``previous_index`` and bring it to ``log_index``.
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
    """Recall grants that other entries wait for."""

    recalls: tuple[GrantRecall, ...]


class AllotSlots(NamedTuple):
    """Allot an entry its slots of the pools that it uses."""

    pools: tuple[PoolAllotment, ...]


class NotLeader(NamedTuple):
    """Redirect to ``leader``; it is empty if no leader is known."""

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
