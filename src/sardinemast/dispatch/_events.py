"""What goes into the dispatcher and what comes out of it."""

from collections.abc import Mapping
from typing import NamedTuple

from sardinemast.dispatch._instance_events import (
    InstancesListed,
    ListInstances,
    MaintenanceAnswered,
    MoveAnswered,
    OrderMaintenance,
    OrderMove,
)
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.jobs import Command, StepKey, TaskKey, Worker

# Why a worker refuses a start without leave of the outside policy.
TICKET_REASON = 'ticket'


class ReportedRun(NamedTuple):
    """Hold what a worker says of a run.

    ``gauge`` is the tail of a serving task's response times in milliseconds,
    for any other task its use of processors.
    """

    task: TaskKey
    number: int
    checkpoint: str = ''
    percent: int = 0
    gauge: int = 0


class ReportedEnd(NamedTuple):
    """Hold an end that a worker lists; ``position`` grows by one each."""

    position: int
    task: TaskKey
    number: int
    result: str
    checkpoint: str = ''


class WorkerReport(NamedTuple):
    """Hold what a worker says of itself: its clock, its runs, their ends."""

    boot_ms: int
    clock_ms: int
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]


class PollWorker(NamedTuple):
    """Ask a worker for its runs and ends, and prolong its lease.

    Without ``expires_ms`` the lease stays as it is. Ends up to ``seen`` are
    recorded and may be forgotten there.
    """

    worker: Worker
    fence: int
    acked_position: int
    expires_ms: int | None
    wait_ms: int
    timeout_s: float
    sent_s: float


class WorkerPolled(NamedTuple):
    """Hand over the answer to a look, or that there is none."""

    worker: str
    fence: int
    sent_s: float
    outcome: OrderOutcome
    answer: WorkerReport | None = None


class StartRun(NamedTuple):
    """Tell a worker to start a run."""

    worker: Worker
    task: TaskKey
    number: int
    fence: int
    expires_ms: int
    spec: str
    checkpoint: str
    timeout_s: float
    ticket: str = ''


class StartAnswered(NamedTuple):
    """Hand over the answer to a start."""

    worker: str
    task: TaskKey
    number: int
    outcome: OrderOutcome
    reason: str = ''
    clock_ms: int = 0


class StopRun(NamedTuple):
    """Tell a worker to stop a run."""

    worker: Worker
    task: TaskKey
    number: int
    fence: int
    timeout_s: float


class ThrottleRun(NamedTuple):
    """Tell a worker to let a run work at a share of its speed."""

    worker: Worker
    task: TaskKey
    number: int
    fence: int
    percent: int
    timeout_s: float


class RequestAdvice(NamedTuple):
    """Ask the outside policy which of some workers may run a step.

    A ticket counts for ``valid_s``.
    """

    step: StepKey
    workers: tuple[Worker, ...]
    valid_s: float
    timeout_s: float


class Ticket(NamedTuple):
    """Hold the policy's leave for a step to run at a worker."""

    worker: str
    ticket: str


class AdviceAnswered(NamedTuple):
    """Hand over the tickets, or that the policy gave no answer."""

    step: StepKey
    tickets: tuple[Ticket, ...] = ()
    is_answered: bool = True


class LogDecision(NamedTuple):
    """Have a decision logged: what, about whom, and what decided it."""

    event: str
    subject: str
    details: Mapping[str, str | float]


class Propose(NamedTuple):
    """Put a command into the log."""

    command: Command


DispatchEvent = (
    WorkerPolled
    | StartAnswered
    | MaintenanceAnswered
    | MoveAnswered
    | InstancesListed
    | AdviceAnswered
)
DispatchOutput = (
    PollWorker
    | StartRun
    | StopRun
    | ThrottleRun
    | OrderMaintenance
    | OrderMove
    | ListInstances
    | RequestAdvice
    | LogDecision
    | Propose
)
