"""What goes into a replica and what comes out of it."""

from enum import StrEnum
from typing import NamedTuple

from sardinemast.consensus._messages import LogEntry, Message


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


class MessageReceived(NamedTuple):
    """Hand over a message of another replica."""

    sender: str
    message: Message


class CommandProposed(NamedTuple):
    """Ask the leader to replicate a command."""

    proposal_id: int
    payload: bytes


class SendMessage(NamedTuple):
    """Send a message once all earlier outputs are done."""

    to: str
    message: Message


class SaveHardState(NamedTuple):
    """Write and sync the hard state before any later output."""

    hard_state: HardState


class AppendToLog(NamedTuple):
    """Cut the log from the first entry's index, append, and sync."""

    entries: tuple[LogEntry, ...]


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


Event = Tick | MessageReceived | CommandProposed
Output = (
    SendMessage
    | SaveHardState
    | AppendToLog
    | ApplyEntry
    | ProposalAccepted
    | ProposalRejected
    | RoleChanged
)
