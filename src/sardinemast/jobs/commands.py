"""Commands that change jobs, queues and workers, in the order of the log."""

from typing import NamedTuple

from sardinemast.jobs._records import (
    Catalog,
    JobRequest,
    MaintenanceStatus,
    RunEnd,
    TaskKey,
    Worker,
)


class PutCatalog(NamedTuple):
    """Put a catalog in place of one with a lower version.

    ``source`` is the operator's own text, given back when it is read.
    """

    catalog: Catalog
    source: bytes


class SubmitJob(NamedTuple):
    """Take in a job, once for each name."""

    name: str
    queue: str
    team: str
    request: JobRequest
    noted_ms: int


class CancelJob(NamedTuple):
    """Cancel a job for good."""

    name: str


class OpenOccurrence(NamedTuple):
    """Let an occurrence of a scheduled job begin."""

    job: str
    occurrence: int


class RegisterWorker(NamedTuple):
    """Take in a worker, or what has changed of it."""

    worker: Worker


class ForgetWorker(NamedTuple):
    """Forget a worker that has ended; with it all its runs have ended."""

    name: str
    boot_ms: int


class RunStart(NamedTuple):
    """Say where a task runs, before the worker is told."""

    task: TaskKey
    number: int
    worker: str


class FinishedRun(NamedTuple):
    """Say how a run ended, and the checkpoint that it left."""

    task: TaskKey
    number: int
    end: RunEnd
    checkpoint: str = ''


class RecordRuns(NamedTuple):
    """Record ends and then starts, each only where it still fits."""

    ends: tuple[FinishedRun, ...]
    starts: tuple[RunStart, ...]


class DeclareWave(NamedTuple):
    """Take in a maintenance wave, once for each number."""

    number: int
    instances: tuple[str, ...]
    cap: int
    started_ms: int
    due_ms: int


class NoteUpkeep(NamedTuple):
    """Note how far the maintenance of an instance is.

    ``noted_ms`` is the leader's time of day, 0 in entries of old versions.
    """

    wave: int
    instance: str
    status: MaintenanceStatus
    boot_ms: int = 0
    noted_ms: int = 0


class NoteMove(NamedTuple):
    """Note that an instance is to change its pool, before it is ordered.

    ``noted_ms`` is the leader's time of day, 0 in entries of old versions.
    """

    instance: str
    pool: str
    noted_ms: int = 0


Command = (
    PutCatalog
    | SubmitJob
    | CancelJob
    | OpenOccurrence
    | RegisterWorker
    | ForgetWorker
    | RecordRuns
    | DeclareWave
    | NoteUpkeep
    | NoteMove
)
COMMAND_CLASSES = (
    PutCatalog,
    SubmitJob,
    CancelJob,
    OpenOccurrence,
    RegisterWorker,
    ForgetWorker,
    RecordRuns,
    DeclareWave,
    NoteUpkeep,
    NoteMove,
)
