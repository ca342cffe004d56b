"""Events and outputs of the core of a control process."""

from typing import NamedTuple

from sardinemast import consensus, dispatch
from sardinemast.fleet import Command, Outcome
from sardinemast.protocol import (
    Call,
    CallAnswer,
    ControlMessage,
    EntryMessage,
    LeaderBeat,
    NotLeader,
)


class Tick(NamedTuple):
    """Let time-driven work run; ``wall_ms`` is Unix time, 0 if not read."""

    wall_ms: int = 0


class PeerMessageReceived(NamedTuple):
    """Deliver a message from another control process."""

    sender: str
    message: consensus.Message
    route: consensus.Route = consensus.Route()


class EntryConnected(NamedTuple):
    """Report a new stream of an entry and the entry's peer address."""

    stream_id: int
    entry: str
    incarnation: int
    host: str = ''
    port: int = 0


class EntryMessageReceived(NamedTuple):
    """Deliver a message from an entry."""

    stream_id: int
    message: EntryMessage


class EntryDisconnected(NamedTuple):
    """Report that an entry's stream has ended."""

    stream_id: int


class CommandRequested(NamedTuple):
    """Request an operator's command; ``wall_s`` is the Unix time to log."""

    request_id: int
    command: Command
    wall_s: float = 0


class CommandsRequested(NamedTuple):
    """Request several commands, written and synced as one batch."""

    requests: tuple[CommandRequested, ...]


class RepairRequested(NamedTuple):
    """Request that a replica replace its data folder and rejoin."""

    request_id: int
    name: str


class CallerConnected(NamedTuple):
    """Report a new stream of a process that sends calls."""

    stream_id: int


class CallReceived(NamedTuple):
    """Deliver a call from a process.

    ``waited_ms`` is the time since the call's arrival at an entry.
    """

    stream_id: int
    call_id: int
    call: Call
    waited_ms: int = 0


class CallerDisconnected(NamedTuple):
    """Report that a stream for calls has ended."""

    stream_id: int


class ProposalsDue(NamedTuple):
    """Request that the batched proposals be written and synced."""


class ApplyDue(NamedTuple):
    """Request that more committed entries be applied."""


class OperatorAnswer(NamedTuple):
    """Hold the outcome of an operator's command.

    ``entries_in_force`` counts the entries of ``entries_total`` that have
    applied the change or have no lease. Without an outcome, nothing was
    written and the operator must ask ``leader``; if ``is_unknown`` is set, the
    command may still be accepted.
    """

    outcome: Outcome | None
    log_index: int
    entries_in_force: int
    entries_total: int
    leader: str | None = None
    is_unknown: bool = False


class AnswerOperator(NamedTuple):
    """Answer an operator's command."""

    request_id: int
    answer: OperatorAnswer


class AnswerRepair(NamedTuple):
    """Answer whether the replica was ordered to rejoin."""

    request_id: int
    is_accepted: bool
    leader: str


class SendToEntry(NamedTuple):
    """Send a message on an entry's stream."""

    stream_id: int
    message: ControlMessage


class ScheduleProposals(NamedTuple):
    """Schedule ``ProposalsDue`` after a short batching delay."""


class ScheduleApply(NamedTuple):
    """Schedule ``ApplyDue`` after pending socket events."""


class AnswerCall(NamedTuple):
    """Answer a call."""

    stream_id: int
    call_id: int
    answer: CallAnswer


class SendToCaller(NamedTuple):
    """Send a message on a stream for calls."""

    stream_id: int
    message: LeaderBeat | NotLeader


class SendOrder(NamedTuple):
    """Send a dispatch order, unless the leader's lease has expired."""

    order: dispatch.DispatchOutput
    valid_until_s: float


JobEvent = (
    CallerConnected
    | CallReceived
    | CallerDisconnected
    | ProposalsDue
    | dispatch.WorkerPolled
    | dispatch.WorkerContested
    | dispatch.StartAnswered
    | dispatch.MaintenanceAnswered
    | dispatch.MoveAnswered
    | dispatch.InstancesListed
    | dispatch.AdviceAnswered
)
ControlEvent = (
    Tick
    | PeerMessageReceived
    | EntryConnected
    | EntryMessageReceived
    | EntryDisconnected
    | CommandRequested
    | CommandsRequested
    | RepairRequested
    | ApplyDue
    | JobEvent
)
ControlOutput = (
    consensus.Output
    | AnswerOperator
    | AnswerRepair
    | SendToEntry
    | AnswerCall
    | SendToCaller
    | SendOrder
    | ScheduleProposals
    | ScheduleApply
    | dispatch.LogDecision
)
