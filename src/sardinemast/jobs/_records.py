"""Records of jobs, queues, workers, runs and maintenance waves."""

from enum import StrEnum
from typing import NamedTuple

from sardinemast.placement import Size

ZERO_SIZE = Size(0, 0)


class Step(NamedTuple):
    """Describe a step of a job: a set of equal tasks.

    ``size`` is the demand of one task. ``max_per_worker`` limits the tasks of
    the step on one worker; 0 is no limit. A task of a long-running step is
    stopped only if then at most ``max_unavailable`` of its tasks are down; 0
    is no limit. A best-effort step reserves no processor time on its worker.
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
        """Return the capacity that a task reserves on its worker."""
        if self.is_best_effort:
            return self.size._replace(millicores=0)
        return self.size

    def allows_labels(self, labels: tuple[str, ...]) -> bool:
        """Check whether a worker with these labels may run a task."""
        return not self.required_label or self.required_label in labels


class JobRequest(NamedTuple):
    """Describe a job as its caller declares it.

    A scheduled job has ``occurrences`` above 0: all steps run that many times,
    first at the Unix time ``first_due_ms``, then every ``interval_ms``.
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
    """Declare a queue: the host and prefix that it serves, and its policy.

    A job is due ``stretch`` times its critical path plus ``target_ms`` after
    its start time. It fails once one of its tasks failed ``max_attempts``
    times. Priority 0 comes first.
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

    @property
    def place(self) -> tuple[str, str]:
        """Return the host and the prefix, by which callers know the queue."""
        return self.host, self.prefix


class Pool(NamedTuple):
    """Declare a pool of workers; those of a standby pool are switched off.

    With ``enforces_capacity``, workers refuse starts beyond their capacity.
    """

    name: str
    enforces_capacity: bool = True
    is_standby: bool = False


class Team(NamedTuple):
    """Declare a team, its keys and the limit of what it may have running.

    A field of ``cap`` that is 0 is no limit. ``weight`` is the team's share of
    a full pool, ``jobs_per_s`` the rate of jobs that it is owed; 0 is no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int = 0
    weight: float = 1
    cap: Size = ZERO_SIZE
    jobs_per_s: float = 0


class Catalog(NamedTuple):
    """Hold one version of all queues, pools and teams."""

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    teams: tuple[Team, ...]


EMPTY_CATALOG = Catalog(0, (), (), ())


class Worker(NamedTuple):
    """Hold a worker; ``boot_ms`` is when it last started.

    ``instance`` is where it runs; an instance may have several in turn.
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
    """Identify a task by its job, occurrence, step and position."""

    job: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        """Return the dotted name used by workers and in logs."""
        return f'{self.job}.{self.occurrence}.{self.step}.{self.position}'


class StepKey(NamedTuple):
    """Identify a step of an occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Return the dotted name used by the external policy and in logs."""
        return f'{self.job}.{self.occurrence}.{self.step}'


class Run(NamedTuple):
    """Hold a run of a task; ``number`` grows with each start."""

    number: int
    worker: str


class RunEnd(StrEnum):
    """How a run ended; ``lost`` neither completes nor fails the task."""

    done = 'done'
    failed = 'failed'
    lost = 'lost'


class JobStatus(StrEnum):
    """Status of a job as shown to callers."""

    queued = 'queued'
    running = 'running'
    done = 'done'
    failed = 'failed'
    cancelled = 'cancelled'


class MaintenanceStatus(StrEnum):
    """Progress of the maintenance of an instance in a wave."""

    waiting = 'waiting'
    ordered = 'ordered'
    down = 'down'
    done = 'done'


class WaveItem(NamedTuple):
    """Hold an instance of a wave.

    ``boot_ms`` is the last start of its worker at the time of the order, 0
    if it had no worker.
    """

    instance: str
    status: MaintenanceStatus = MaintenanceStatus.waiting
    boot_ms: int = 0


class Wave(NamedTuple):
    """Hold the instances of a maintenance wave.

    At most ``cap`` of them may be down at once; ``due_ms`` is a Unix time.
    """

    number: int
    cap: int
    started_ms: int
    due_ms: int
    items: tuple[WaveItem, ...]
