"""Events that the dispatcher handles and orders that it issues."""

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

# Reason of a worker that refuses a start for lack of a valid ticket.
TICKET_REASON = 'ticket'


class ReportedRun(NamedTuple):
    """Hold a run that a worker reports.

    ``percent`` is its progress, or that of the startup of a long-running
    task. ``gauge`` is the tail latency in milliseconds of a latency-sensitive
    task, and the CPU usage of any other task.
    """

    task: TaskKey
    number: int
    checkpoint: str = ''
    percent: int = 0
    gauge: int = 0


class ReportedEnd(NamedTuple):
    """Hold the end of a run; ``position`` numbers the ends of a worker."""

    position: int
    task: TaskKey
    number: int
    result: str
    checkpoint: str = ''


class WorkerReport(NamedTuple):
    """Hold the answer to a poll: clock, active runs and ended runs.

    ``unread_tasks`` are active in runs that cannot be read.
    ``unread_position`` is the highest of the ends that cannot be read. If
    ``has_unread_ends``, there are some whose positions cannot be read either.
    """

    boot_ms: int
    clock_ms: int
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
    unread_tasks: frozenset[TaskKey] = frozenset()
    unread_position: int = 0
    has_unread_ends: bool = False


class PollWorker(NamedTuple):
    """Ask a worker for its runs and ended runs, and renew its lease.

    The worker answers as soon as it has an end to report, or after
    ``wait_ms``. ``expires_ms`` is the new expiry of the lease on the worker's
    clock; with ``None`` the lease is not renewed. Ends up to
    ``acked_position`` are recorded, so that the worker may drop them.
    """

    worker: Worker
    fence: int
    acked_position: int
    expires_ms: int | None
    wait_ms: int
    timeout_s: float
    sent_s: float


class WorkerPolled(NamedTuple):
    """Report the result of a poll; ``answer`` is missing if it failed."""

    worker: str
    fence: int
    sent_s: float
    outcome: OrderOutcome
    answer: WorkerReport | None = None


class WorkerContested(NamedTuple):
    """Report that another worker claims the place of this one."""

    worker: str


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
    """Report the worker's answer to a start."""

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
    """Tell a worker to limit a run to a percentage of its speed."""

    worker: Worker
    task: TaskKey
    number: int
    fence: int
    percent: int
    timeout_s: float


class RequestAdvice(NamedTuple):
    """Ask the external policy which of these workers may run a step.

    Granted tickets are valid for ``valid_s``.
    """

    step: StepKey
    workers: tuple[Worker, ...]
    valid_s: float
    timeout_s: float


class Ticket(NamedTuple):
    """Hold the permission of the external policy to use a worker."""

    worker: str
    ticket: str


class AdviceAnswered(NamedTuple):
    """Report the granted tickets, or that the policy did not answer."""

    step: StepKey
    tickets: tuple[Ticket, ...] = ()
    is_answered: bool = True


class LogDecision(NamedTuple):
    """Write a decision to the process log, with its subject and details."""

    event: str
    subject: str
    details: Mapping[str, str | float]


class Propose(NamedTuple):
    """Propose a command for the log."""

    command: Command


DispatchEvent = (
    WorkerPolled
    | WorkerContested
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
