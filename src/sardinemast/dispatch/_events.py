"""What goes into the dispatcher and what comes out of it."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from sardinemast.jobs import Command, TaskKey, Worker


class OrderOutcome(StrEnum):
    """Tell what became of an order to a worker.

    ``refused`` is a whole answer that says that nothing was done, and
    ``gone`` the word of another worker at the address. After ``unknown`` the
    order may have been carried out, or may be yet.
    """

    done = 'done'
    refused = 'refused'
    gone = 'gone'
    not_sent = 'not sent'
    unknown = 'unknown'


class ListedRun(NamedTuple):
    """Hold what a worker says of a run.

    ``gauge`` is the tail of a serving task's response times in milliseconds,
    for any other task its use of processors.
    """

    task: TaskKey
    number: int
    checkpoint: str = ''
    percent: int = 0
    gauge: int = 0


class ListedEnd(NamedTuple):
    """Hold an end that a worker lists; ``position`` grows by one each."""

    position: int
    task: TaskKey
    number: int
    result: str
    checkpoint: str = ''


class LookAnswer(NamedTuple):
    """Hold what a worker says of itself: its clock, its runs, their ends."""

    boot_ms: int
    clock_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]


class LookAtWorker(NamedTuple):
    """Ask a worker for its runs and ends, and prolong its lease.

    Without ``expires_ms`` the lease stays as it is. Ends up to ``seen`` are
    recorded and may be forgotten there.
    """

    worker: Worker
    fence: int
    seen: int
    expires_ms: int | None
    wait_ms: int
    timeout_s: float
    sent_s: float


class WorkerLooked(NamedTuple):
    """Hand over the answer to a look, or that there is none."""

    worker: str
    fence: int
    sent_s: float
    outcome: OrderOutcome
    answer: LookAnswer | None = None


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


class RunAnswered(NamedTuple):
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


class PaceRun(NamedTuple):
    """Tell a worker to let a run work at a share of its speed."""

    worker: Worker
    task: TaskKey
    number: int
    fence: int
    percent: int
    timeout_s: float


class OrderUpkeep(NamedTuple):
    """Have an instance maintained; all that runs on it ends at once.

    ``token`` fences the order, and ``boot_ms`` is the boot of the worker that
    is taken down.
    """

    instance: str
    wave: int
    token: int
    boot_ms: int
    timeout_s: float


class UpkeepAnswered(NamedTuple):
    """Hand over what became of an order for an instance."""

    instance: str
    wave: int
    boot_ms: int
    outcome: OrderOutcome
    is_unknown_instance: bool = False
    reason: str = ''


class OrderMove(NamedTuple):
    """Have an instance change its pool; all that runs on it ends at once."""

    instance: str
    pool: str
    token: int
    timeout_s: float


class MoveAnswered(NamedTuple):
    """Hand over what became of a move."""

    instance: str
    pool: str
    outcome: OrderOutcome


class ListInstances(NamedTuple):
    """Ask for all instances, those that stand by included."""

    timeout_s: float


class ListedInstance(NamedTuple):
    """Hold an instance as whoever runs it lists it.

    It may be neither up nor down, while it is moved or maintained.
    """

    name: str
    pool: str
    is_up: bool
    is_down: bool = False


class InstancesListed(NamedTuple):
    """Hand over the list of instances."""

    instances: tuple[ListedInstance, ...]


class LogDecision(NamedTuple):
    """Have a decision logged: what, about whom, and what decided it."""

    event: str
    subject: str
    details: Mapping[str, str | float]


class Propose(NamedTuple):
    """Put a command into the log."""

    command: Command


DispatchEvent = (
    WorkerLooked | RunAnswered | UpkeepAnswered | MoveAnswered | InstancesListed
)
DispatchOutput = (
    LookAtWorker
    | StartRun
    | StopRun
    | PaceRun
    | OrderUpkeep
    | OrderMove
    | ListInstances
    | LogDecision
    | Propose
)
