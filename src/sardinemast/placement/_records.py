"""Typed records of workers, jobs and their runs."""

from enum import StrEnum
from typing import NamedTuple


class Size(NamedTuple):
    """Hold what a job takes or a worker has.

    All are whole numbers: sums of fractions differ by the order in which they
    were added, and two replicas would judge one limit differently.
    """

    millicores: int
    memory_bytes: int
    accelerators: int = 0

    def fits(self, room: 'Size') -> bool:
        """Tell whether there is room for this."""
        return (
            self.millicores <= room.millicores
            and self.memory_bytes <= room.memory_bytes
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: 'Size', sign: int = 1) -> 'Size':
        """Add another size, or with -1 take it away."""
        return Size(
            self.millicores + sign * other.millicores,
            self.memory_bytes + sign * other.memory_bytes,
            self.accelerators + sign * other.accelerators,
        )


class WorkerStatus(StrEnum):
    """Whether a worker gets jobs."""

    ready = 'ready'
    lost = 'lost'
    set_aside = 'set aside'


class Worker(NamedTuple):
    """Hold one worker; its incarnation grows when its lease has lapsed.

    ``failed`` holds the last jobs that failed here since one succeeded.
    """

    name: str
    incarnation: int
    region: str
    data_centre: str
    rack: str
    room: Size
    status: WorkerStatus = WorkerStatus.ready
    is_draining: bool = False
    is_lease_ended: bool = False
    failed: tuple[str, ...] = ()
    reason: str = ''


class JobStatus(StrEnum):
    """What a job does now."""

    waiting = 'waiting'
    running = 'running'
    stopping = 'stopping'
    done = 'done'
    cancelled = 'cancelled'
    set_aside = 'set aside'


FINAL = frozenset((JobStatus.done, JobStatus.cancelled, JobStatus.set_aside))


class Priority(StrEnum):
    """How urgent a job is."""

    urgent = 'urgent'
    normal = 'normal'
    spare = 'spare'


class Job(NamedTuple):
    """Hold one job.

    ``may_overlap`` lets a new run start while a lost one may still run.
    ``growth`` multiplies the memory after runs that ran out of it, and
    ``ended_index`` is the log index at which the job was over.
    """

    name: str
    team: str
    kind: str
    priority: Priority
    declared: Size
    submitted_index: int
    may_overlap: bool = False
    can_checkpoint: bool = False
    group: str = ''
    status: JobStatus = JobStatus.waiting
    is_cancelled: bool = False
    growth: int = 1
    failed_on: tuple[str, ...] = ()
    token: int = 0
    ended_index: int = 0
    reason: str = ''


class Run(NamedTuple):
    """Hold one run of a job; ``token`` is its log index and fencing token."""

    job: str
    token: int
    worker: str
    incarnation: int
    size: Size
    is_throttled: bool = False


class RunResult(StrEnum):
    """How a run ended."""

    succeeded = 'succeeded'
    failed = 'failed'
    out_of_memory = 'out of memory'
    checkpointed = 'checkpointed'
    stopped = 'stopped'


class Team(NamedTuple):
    """Hold a team's share, and how many millicores it may have running."""

    name: str
    share: float
    millicores_max: int
