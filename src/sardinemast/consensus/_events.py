"""What goes into a replica and what comes out of it."""

from enum import StrEnum
from typing import NamedTuple

from sardinemast.consensus._messages import LogEntry, Message, Snapshot


class Role(StrEnum):
    """What a replica is in its term."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'


class HardState(NamedTuple):
    """What must be synced before a vote or an answer leaves the replica."""

    term: int = 0
    voted_for: str = ''


class Tick(NamedTuple):
    """Tell the replica that time has passed."""


class Route(NamedTuple):
    """Say from which folder to which a message goes.

    An empty recipient is whoever runs under the name. All fields are empty
    where replicas run without identities.
    """

    sender: str = ''
    recipient: str = ''
    cluster: str = ''


class MessageReceived(NamedTuple):
    """Hand over a message of another replica, by its name."""

    sender: str
    message: Message
    route: Route = Route()


class CommandProposed(NamedTuple):
    """Ask the leader to replicate a command."""

    proposal_id: int
    payload: bytes


class BatchProposed(NamedTuple):
    """Ask the leader to replicate commands by one write and sync."""

    proposals: tuple[CommandProposed, ...]


class SnapshotTaken(NamedTuple):
    """Hand over the image of the state after an applied entry."""

    log_index: int
    image: bytes


class RepairRequested(NamedTuple):
    """Ask the leader to have a replica's folder replaced.

    The answer is ``ProposalAccepted`` with the commit index, or
    ``ProposalRejected`` where this is no leader or would lose a majority.
    """

    proposal_id: int
    name: str


class SendMessage(NamedTuple):
    """Send a message once all earlier outputs are done."""

    to: str
    message: Message
    route: Route = Route()


class SaveHardState(NamedTuple):
    """Write and sync the hard state before any later output."""

    hard_state: HardState


class AppendToLog(NamedTuple):
    """Cut the log from the first entry's index, append, and sync."""

    entries: tuple[LogEntry, ...]


class SaveSnapshot(NamedTuple):
    """Write and sync the snapshot and the entries behind it."""

    snapshot: Snapshot
    entries: tuple[LogEntry, ...]


class RestoreSnapshot(NamedTuple):
    """Replace the state by a snapshot; applying goes on behind it."""

    snapshot: Snapshot


class ReplaceFolder(NamedTuple):
    """Set the data folder aside and start again with an empty one."""


class ApplyEntry(NamedTuple):
    """Apply a committed entry; entries come once each and in order."""

    entry: LogEntry


class ProposalAccepted(NamedTuple):
    """Tell at which index and term a proposal stands in the leader's log."""

    proposal_id: int
    log_index: int
    term: int


class ProposalRejected(NamedTuple):
    """Refuse a proposal; nothing of it was written."""

    proposal_id: int
    leader: str


class RoleChanged(NamedTuple):
    """Tell the role of this replica in a term."""

    role: Role
    term: int


Event = (
    Tick
    | MessageReceived
    | CommandProposed
    | BatchProposed
    | SnapshotTaken
    | RepairRequested
)
Output = (
    SendMessage
    | SaveHardState
    | AppendToLog
    | SaveSnapshot
    | RestoreSnapshot
    | ReplaceFolder
    | ApplyEntry
    | ProposalAccepted
    | ProposalRejected
    | RoleChanged
)
