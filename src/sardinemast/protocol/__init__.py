"""Messages between an entry and the control processes."""

from sardinemast.protocol._messages import (
    CONTROL_MESSAGES,
    ENTRY_MESSAGES,
    NEEDS_STATE,
    AppliedCommand,
    ControlMessage,
    EntryMessage,
    GrantReturn,
    HeardUpstreams,
    LeaseGranted,
    NotLeader,
    RenewLease,
    ReportUpstreams,
    RosterChanged,
    StateChanged,
    StateReplaced,
    TeamDemand,
)

__all__ = (
    'CONTROL_MESSAGES',
    'ENTRY_MESSAGES',
    'NEEDS_STATE',
    'AppliedCommand',
    'ControlMessage',
    'EntryMessage',
    'GrantReturn',
    'HeardUpstreams',
    'LeaseGranted',
    'NotLeader',
    'RenewLease',
    'ReportUpstreams',
    'RosterChanged',
    'StateChanged',
    'StateReplaced',
    'TeamDemand',
)
