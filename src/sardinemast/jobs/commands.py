"""Commands on jobs, queues and workers, applied in log order."""

from typing import NamedTuple

from sardinemast.jobs._durations import DurationSummary
from sardinemast.jobs._instance_records import InstanceRecord
from sardinemast.jobs._records import (
    Catalog,
    JobRequest,
    MaintenanceStatus,
    RunEnd,
    TaskKey,
    Worker,
)


class PutCatalog(NamedTuple):
    """Replace the catalog by one with a higher version.

    ``source`` is the text that the operator sent, returned when it is read.
    """

    catalog: Catalog
    source: bytes


class SubmitJob(NamedTuple):
    """Accept a job, unless its name is in use.

    ``first_seen_ms`` is when a job that was refused before first arrived, 0
    for others and in entries of old versions.
    """

    name: str
    queue: str
    team: str
    request: JobRequest
    submitted_ms: int
    first_seen_ms: int = 0


class CancelJob(NamedTuple):
    """Cancel a job."""

    name: str


class OpenOccurrence(NamedTuple):
    """Start an occurrence of a scheduled job."""

    job: str
    occurrence: int


class RegisterWorker(NamedTuple):
    """Add or update a worker."""

    worker: Worker


class ForgetWorker(NamedTuple):
    """Remove a worker that has ended; its runs are lost."""

    name: str
    boot_ms: int


class RunStart(NamedTuple):
    """Assign a run to a worker, recorded before the worker is ordered."""

    task: TaskKey
    number: int
    worker: str


class FinishedRun(NamedTuple):
    """Describe how a run ended and which checkpoint it left."""

    task: TaskKey
    number: int
    end: RunEnd
    checkpoint: str = ''


class RecordRuns(NamedTuple):
    """Record ends, then starts; skip those that are stale."""

    ends: tuple[FinishedRun, ...]
    starts: tuple[RunStart, ...]


class DeclareWave(NamedTuple):
    """Declare a maintenance wave, unless its number is in use."""

    number: int
    instances: tuple[str, ...]
    cap: int
    started_ms: int
    due_ms: int


class NoteUpkeep(NamedTuple):
    """Set the maintenance status of an instance.

    ``recorded_ms`` is the leader's Unix time, 0 in entries of old versions.
    """

    wave: int
    instance: str
    status: MaintenanceStatus
    boot_ms: int = 0
    recorded_ms: int = 0


class NoteMove(NamedTuple):
    """Record a move of an instance to a pool, before it is ordered.

    ``recorded_ms`` is the leader's Unix time, 0 in entries of old versions.
    """

    instance: str
    pool: str
    recorded_ms: int = 0


class EvacuateDataCentre(NamedTuple):
    """Send nothing more to the workers and upstreams of a data centre."""

    command_id: str
    data_centre: str


class ReadmitDataCentre(NamedTuple):
    """End the evacuation of a data centre."""

    command_id: str
    data_centre: str


EvacuationCommand = EvacuateDataCentre | ReadmitDataCentre


class NoteEvacuated(NamedTuple):
    """Set which data centres are evacuated, as entries are told."""

    data_centres: tuple[str, ...]


class NoteDurations(NamedTuple):
    """Replace the summaries of learned durations that changed."""

    summaries: tuple[DurationSummary, ...]


class NoteInstanceRecords(NamedTuple):
    """Replace the records of some instances."""

    records: tuple[InstanceRecord, ...]


class PreemptedRun(NamedTuple):
    """Identify a run that gives way to a waiting task."""

    task: TaskKey
    number: int


class PreemptRuns(NamedTuple):
    """Record runs that give way, before they are stopped."""

    runs: tuple[PreemptedRun, ...]


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
    | EvacuateDataCentre
    | ReadmitDataCentre
    | NoteEvacuated
    | NoteDurations
    | NoteInstanceRecords
    | PreemptRuns
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
    EvacuateDataCentre,
    ReadmitDataCentre,
    NoteEvacuated,
    NoteDurations,
    NoteInstanceRecords,
    PreemptRuns,
)
