"""What goes into a control process's core and what comes out of it."""

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
    """Tell the core that time has passed, and the time of day."""

    wall_ms: int = 0


class PeerMessageReceived(NamedTuple):
    """Hand over a message of another control process."""

    sender: str
    message: consensus.Message
    route: consensus.Route = consensus.Route()


class EntryConnected(NamedTuple):
    """Tell that an entry opened a stream, and where others reach it."""

    stream_id: int
    entry: str
    incarnation: int
    host: str = ''
    port: int = 0


class EntryMessageReceived(NamedTuple):
    """Hand over a message of an entry."""

    stream_id: int
    message: EntryMessage


class EntryDisconnected(NamedTuple):
    """Tell that a stream has ended."""

    stream_id: int


class CommandRequested(NamedTuple):
    """Hand over an operator's command, and the wall time for the log."""

    request_id: int
    command: Command
    wall_s: float = 0


class CommandsRequested(NamedTuple):
    """Hand over commands to be written and synced together."""

    asked: tuple[CommandRequested, ...]


class RepairRequested(NamedTuple):
    """Hand over an operator's wish to replace a replica's folder."""

    request_id: int
    name: str


class CallerConnected(NamedTuple):
    """Tell that a process opened a stream for calls."""

    stream_id: int


class CallReceived(NamedTuple):
    """Hand over a call that a process passes on."""

    stream_id: int
    call_id: int
    call: Call


class CallerDisconnected(NamedTuple):
    """Tell that a stream for calls has ended."""

    stream_id: int


class ProposalsDue(NamedTuple):
    """Have what was gathered written and synced together."""


class ApplyDue(NamedTuple):
    """Have more of the committed entries applied."""


class OperatorAnswer(NamedTuple):
    """Answer an operator truthfully.

    ``entries_in_force`` of ``entries_total`` have the change in force or no
    lease to serve without it. Without an outcome nothing was written and
    ``leader`` must be asked, or with ``is_unknown`` it may still be accepted.
    """

    outcome: Outcome | None
    log_index: int
    entries_in_force: int
    entries_total: int
    leader: str | None = None
    is_unknown: bool = False


class AnswerOperator(NamedTuple):
    """Send the answer to an operator."""

    request_id: int
    answer: OperatorAnswer


class AnswerRepair(NamedTuple):
    """Tell an operator whether the replica was told to join anew."""

    request_id: int
    is_accepted: bool
    leader: str


class SendToEntry(NamedTuple):
    """Send a message on an entry's stream."""

    stream_id: int
    message: ControlMessage


class ScheduleProposals(NamedTuple):
    """Hand over ``ProposalsDue`` a moment later."""


class ScheduleApply(NamedTuple):
    """Hand over ``ApplyDue`` once sockets had their turn."""


class AnswerCall(NamedTuple):
    """Send the answer to a call."""

    stream_id: int
    call_id: int
    answer: CallAnswer


class SendToCaller(NamedTuple):
    """Send a message on a stream for calls."""

    stream_id: int
    message: LeaderBeat | NotLeader


class SendOrder(NamedTuple):
    """Send an order to a worker, unless the lease has ended before."""

    order: dispatch.DispatchOutput
    valid_until_s: float


JobEvent = (
    CallerConnected
    | CallReceived
    | CallerDisconnected
    | ProposalsDue
    | dispatch.WorkerPolled
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
