"""Events that a replica handles and outputs that it returns."""

from enum import StrEnum
from typing import NamedTuple

from sardinemast.consensus._messages import LogEntry, Message, Snapshot


class Role(StrEnum):
    """Define the roles of a replica in a term."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'


class HardState(NamedTuple):
    """Hold the term and vote, synced before any message that relies on them."""

    term: int = 0
    voted_for: str = ''


class Tick(NamedTuple):
    """Let the replica check its timers."""


class Route(NamedTuple):
    """Identify the sending and the receiving data folder of a message.

    An empty recipient addresses any folder of the named process. All fields
    are empty where replicas run without identities.
    """

    sender: str = ''
    recipient: str = ''
    cluster: str = ''


class MessageReceived(NamedTuple):
    """Deliver a message from the named replica."""

    sender: str
    message: Message
    route: Route = Route()


class CommandProposed(NamedTuple):
    """Ask the leader to replicate a command."""

    proposal_id: int
    payload: bytes


class BatchProposed(NamedTuple):
    """Ask the leader to replicate commands with a single write and sync."""

    proposals: tuple[CommandProposed, ...]


class SnapshotTaken(NamedTuple):
    """Deliver the serialized state as of an applied entry."""

    log_index: int
    image: bytes


class RepairRequested(NamedTuple):
    """Ask the leader to have a replica's data folder replaced.

    The output is ``ProposalAccepted`` with the commit index, or
    ``ProposalRejected`` if this replica does not lead or the other voters
    are no majority.
    """

    proposal_id: int
    name: str


class SendMessage(NamedTuple):
    """Send a message after all earlier outputs are carried out."""

    to: str
    message: Message
    route: Route = Route()


class SaveHardState(NamedTuple):
    """Write and sync the hard state before carrying out later outputs."""

    hard_state: HardState


class AppendToLog(NamedTuple):
    """Truncate the log at the first entry's index, append, and sync."""

    entries: tuple[LogEntry, ...]


class SaveSnapshot(NamedTuple):
    """Write and sync the snapshot and the entries that follow it."""

    snapshot: Snapshot
    entries: tuple[LogEntry, ...]


class RestoreSnapshot(NamedTuple):
    """Replace the state by a snapshot; applying continues after it."""

    snapshot: Snapshot


class ReplaceFolder(NamedTuple):
    """Set the data folder aside and restart with an empty one."""


class ApplyEntry(NamedTuple):
    """Apply a committed entry; each entry is output once and in order."""

    entry: LogEntry


class ProposalAccepted(NamedTuple):
    """Report the log index and term at which a proposal was appended."""

    proposal_id: int
    log_index: int
    term: int


class ProposalRejected(NamedTuple):
    """Report that a proposal was not appended, and who leads if known."""

    proposal_id: int
    leader: str


class RoleChanged(NamedTuple):
    """Report the new role of this replica in a term."""

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
