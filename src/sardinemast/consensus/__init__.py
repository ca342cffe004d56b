"""Agree on one order of commands among replicas that may fail."""

from sardinemast.consensus._events import (
    AppendToLog,
    ApplyEntry,
    CommandProposed,
    Event,
    HardState,
    MessageReceived,
    Output,
    ProposalAccepted,
    ProposalRejected,
    Role,
    RoleChanged,
    SaveHardState,
    SendMessage,
    Tick,
)
from sardinemast.consensus._messages import (
    MESSAGES,
    AppendEntries,
    AppendReply,
    LogEntry,
    Message,
    VoteReply,
    VoteRequest,
)
from sardinemast.consensus._replica import Replica, ReplicaSettings

__all__ = (
    'MESSAGES',
    'AppendEntries',
    'AppendReply',
    'AppendToLog',
    'ApplyEntry',
    'CommandProposed',
    'Event',
    'HardState',
    'LogEntry',
    'Message',
    'MessageReceived',
    'Output',
    'ProposalAccepted',
    'ProposalRejected',
    'Replica',
    'ReplicaSettings',
    'Role',
    'RoleChanged',
    'SaveHardState',
    'SendMessage',
    'Tick',
    'VoteReply',
    'VoteRequest',
)
