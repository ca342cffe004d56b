"""Records of jobs, of the queues that take them and of what runs them."""

from enum import StrEnum
from typing import NamedTuple

from sardinemast.placement import Size

ZERO_SIZE = Size(0, 0)


class Step(NamedTuple):
    """Describe a step of a job: a set of equal tasks.

    ``size`` is the demand of one task. ``max_per_worker`` limits the tasks of
    the step on one worker; 0 is no limit. ``max_unavailable`` limits how many
    tasks of a long-running step may be down when the dispatcher stops one. The
    processor time of a best-effort step is not reserved on its worker.
    """

    task_count: int
    size: Size
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    can_checkpoint: bool = False
    is_gang: bool = False
    is_same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    allows_speculation: bool = False
    is_long_running: bool = False
    image: str = ''
    tail_latency_limit_ms: int = 0
    is_best_effort: bool = False
    max_unavailable: int = 0

    @property
    def reserved_size(self) -> Size:
        """Give what a task takes of its worker's room."""
        if self.is_best_effort:
            return self.size._replace(millicores=0)
        return self.size

    def allows_labels(self, labels: tuple[str, ...]) -> bool:
        """Tell whether a worker with these labels may run a task."""
        return not self.required_label or self.required_label in labels


class JobRequest(NamedTuple):
    """Describe a whole job as its caller declares it.

    ``occurrences`` above 0 runs all steps that many times, the first due at
    ``first_due_ms`` of Unix time and each next one ``interval_ms`` later.
    """

    spec: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


class Advice(NamedTuple):
    """Configure the external policy that permits the starts of a queue.

    The policy answers after ``decide_ms`` plus ``per_worker_ms`` for each
    worker in the request. A ticket is valid for ``valid_ms``.
    """

    decide_ms: int
    per_worker_ms: int
    valid_ms: int


class Queue(NamedTuple):
    """Declare a queue: who reaches it, and how its jobs are run.

    The target of a job is ``stretch`` times its longest chain of work, and
    ``target_ms`` more. Priority 0 comes first.
    """

    name: str
    host: str
    prefix: str
    pool: str
    timeout_ms: int
    target_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1
    is_public: bool = False
    advice: Advice | None = None


class Pool(NamedTuple):
    """Declare a pool of workers; those of a standby pool are switched off.

    Workers that guard their room refuse a start that does not fit.
    """

    name: str
    rejects_overload: bool = True
    is_standby: bool = False


class Team(NamedTuple):
    """Declare a team, its keys, its weight and what it may have running.

    A part of ``cap`` that is 0 is no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int = 0
    weight: float = 1
    cap: Size = ZERO_SIZE


class Catalog(NamedTuple):
    """Hold all queues, pools and teams of one version."""

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    teams: tuple[Team, ...]


EMPTY_CATALOG = Catalog(0, (), (), ())


class Worker(NamedTuple):
    """Hold one worker; ``boot_ms`` is when it last started.

    ``instance`` is the machine, which stays the same over its workers' lives.
    """

    name: str
    boot_ms: int
    address: str
    pool: str
    data_centre: str
    rack: str
    labels: tuple[str, ...]
    capacity: Size
    instance: str = ''
    is_draining: bool = False


class TaskKey(NamedTuple):
    """Name one task of one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        """Give the dotted name that workers and logs know."""
        return f'{self.job}.{self.occurrence}.{self.step}.{self.position}'


class StepKey(NamedTuple):
    """Name one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Give the dotted name that the outside policy and logs know."""
        return f'{self.job}.{self.occurrence}.{self.step}'


class Run(NamedTuple):
    """Hold one start of a task; ``number`` grows with each start."""

    number: int
    worker: str


class RunEnd(StrEnum):
    """How a run ended; ``lost`` covers all that says nothing of the task."""

    done = 'done'
    failed = 'failed'
    lost = 'lost'


class JobStatus(StrEnum):
    """What a caller is told of a job."""

    queued = 'queued'
    running = 'running'
    done = 'done'
    failed = 'failed'
    cancelled = 'cancelled'


class MaintenanceStatus(StrEnum):
    """How far the maintenance of one instance in a wave is."""

    waiting = 'waiting'
    ordered = 'ordered'
    down = 'down'
    done = 'done'


class WaveItem(NamedTuple):
    """Hold one instance of a wave, and the boot that an order takes down."""

    instance: str
    status: MaintenanceStatus = MaintenanceStatus.waiting
    boot_ms: int = 0


class Wave(NamedTuple):
    """Hold instances that are due for maintenance.

    At most ``cap`` of them may be down at once; ``due_ms`` is a Unix time.
    """

    number: int
    cap: int
    started_ms: int
    due_ms: int
    items: tuple[WaveItem, ...]
