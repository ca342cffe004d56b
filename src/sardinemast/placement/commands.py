"""Commands that change jobs and workers, in the order of the log."""

from typing import NamedTuple

from sardinemast.placement._records import (
    Priority,
    RunResult,
    Size,
    Team,
)


class SetTeams(NamedTuple):
    """Put teams' shares and limits in force."""

    command_id: str
    teams: tuple[Team, ...]


class EnterWorker(NamedTuple):
    """Take in a worker, or a new incarnation of it."""

    name: str
    incarnation: int
    region: str
    data_centre: str
    rack: str
    room: Size


class LoseWorker(NamedTuple):
    """Note that a worker is silent; its runs may still go on."""

    name: str
    incarnation: int


class RecoverWorker(NamedTuple):
    """Note that a silent worker is heard again within its lease."""

    name: str
    incarnation: int


class EndWorkerLease(NamedTuple):
    """Note that a worker's lease has surely ended, and with it its runs."""

    name: str
    incarnation: int


class DrainWorker(NamedTuple):
    """Give a worker nothing new, or with ``is_over`` jobs again."""

    command_id: str
    name: str
    is_over: bool = False


class SetWorkerAside(NamedTuple):
    """Give nothing more to a worker that fails what succeeds elsewhere."""

    name: str
    incarnation: int
    reason: str


class ReadmitWorker(NamedTuple):
    """Give a repaired worker jobs again."""

    command_id: str
    name: str


class JobRequest(NamedTuple):
    """Ask for one job."""

    name: str
    team: str
    kind: str
    priority: Priority
    declared: Size
    may_overlap: bool = False
    can_checkpoint: bool = False
    group: str = ''


class SubmitJobs(NamedTuple):
    """Take in jobs."""

    command_id: str
    jobs: tuple[JobRequest, ...]


class CancelJobs(NamedTuple):
    """Cancel the named jobs, and all of a team's kind if one is named."""

    command_id: str
    jobs: tuple[str, ...] = ()
    team: str = ''
    kind: str = ''


class Placement(NamedTuple):
    """Start a job on an incarnation of a worker."""

    job: str
    worker: str
    incarnation: int
    size: Size


class PlaceJobs(NamedTuple):
    """Start several jobs, each only where it still fits."""

    placements: tuple[Placement, ...]


class RunEnd(NamedTuple):
    """Tell how a run ended and what it took at most."""

    job: str
    token: int
    result: RunResult
    peak: Size


class EndRuns(NamedTuple):
    """End several runs."""

    ends: tuple[RunEnd, ...]


class ThrottleRuns(NamedTuple):
    """Note that workers have throttled runs to the given cores."""

    tokens: tuple[int, ...]


class RunUse(NamedTuple):
    """Tell what a run was seen to take."""

    token: int
    seen: Size


class GrowRuns(NamedTuple):
    """Keep the room that runs take, where it is more than was kept."""

    uses: tuple[RunUse, ...]


class SetJobAside(NamedTuple):
    """End a job that can't run, with the reason."""

    job: str
    reason: str


Command = (
    SetTeams
    | EnterWorker
    | LoseWorker
    | RecoverWorker
    | EndWorkerLease
    | DrainWorker
    | SetWorkerAside
    | ReadmitWorker
    | SubmitJobs
    | CancelJobs
    | PlaceJobs
    | EndRuns
    | ThrottleRuns
    | GrowRuns
    | SetJobAside
)
COMMAND_CLASSES = (
    SetTeams,
    EnterWorker,
    LoseWorker,
    RecoverWorker,
    EndWorkerLease,
    DrainWorker,
    SetWorkerAside,
    ReadmitWorker,
    SubmitJobs,
    CancelJobs,
    PlaceJobs,
    EndRuns,
    ThrottleRuns,
    GrowRuns,
    SetJobAside,
)
