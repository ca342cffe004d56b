"""Calls that any process forwards to the leader, and their answers."""

from enum import StrEnum
from typing import Any, NamedTuple

from sardinemast.jobs import Catalog, JobRequest, Worker
from sardinemast.protocol._messages import NotLeader
from sardinemast.wire import MessageSet, WireError, load_plain


class JobAction(StrEnum):
    """State what a caller wants to do with a job or a queue."""

    submit = 'submit'
    read = 'read'
    cancel = 'cancel'


class JobCall(NamedTuple):
    """Submit, read or cancel the job that a path names.

    The path's queue is the one of the host with the longest matching prefix;
    the rest of the path is the job's name. Without a name, a read returns
    the number of waiting jobs. ``request`` is only set to submit a job.
    """

    action: JobAction
    host: str
    path: str
    key: str
    request: JobRequest | None = None


class AnnounceWorker(NamedTuple):
    """Announce a worker; a lower ``sequence`` than the last is ignored.

    ``clock_ms`` is the time on the worker's own clock, 0 if it is not known.
    """

    worker: Worker
    sequence: int
    clock_ms: int = 0


class WorkerLeft(NamedTuple):
    """Report that a worker is shutting down."""

    worker: str


class ReplaceCatalog(NamedTuple):
    """Replace the catalog; ``source`` is the operator's original text."""

    catalog: Catalog
    source: bytes


class ReadCatalog(NamedTuple):
    """Read the current catalog."""


class BeginWave(NamedTuple):
    """Start a maintenance wave, with at most ``cap`` instances at a time.

    The wave is due ``deadline_s`` after its start.
    """

    number: int
    instances: tuple[str, ...]
    cap: int
    deadline_s: float


class ReadWave(NamedTuple):
    """Read the status of a wave."""

    number: int


class ChangeEvacuation(NamedTuple):
    """Evacuate a data centre, or readmit it."""

    data_centre: str
    is_evacuated: bool


Call = (
    JobCall
    | AnnounceWorker
    | WorkerLeft
    | ReplaceCatalog
    | ReadCatalog
    | BeginWave
    | ReadWave
    | ChangeEvacuation
)


class CallOutcome(StrEnum):
    """State the outcome of a call.

    After ``refused`` the call has had and will have no effect. After
    ``uncertain`` it may have taken effect, or may still do so. A job that is
    ``overloaded`` never runs unless it is submitted again later.
    """

    done = 'done'
    refused = 'refused'
    uncertain = 'uncertain'
    invalid = 'invalid'
    unknown_queue = 'unknown queue'
    unknown_key = 'unknown key'
    unknown_job = 'unknown job'
    overloaded = 'overloaded'


class CallAnswer(NamedTuple):
    """Hold the answer to a call.

    ``status`` is that of a job or a wave, ``waiting`` the number of jobs
    waiting in a queue, ``source`` the text of a catalog, and ``text`` the
    reason for a failure. ``retry_after_s`` is when to submit a refused job
    again; 0 leaves it to the entry.
    """

    outcome: CallOutcome
    status: str = ''
    waiting: int = 0
    source: bytes = b''
    text: str = ''
    retry_after_s: int = 0


class PassCall(NamedTuple):
    """Forward a call to the leader; a resend has the same id.

    ``waited_ms`` is the time from the call's arrival at an entry to this send.
    """

    call_id: int
    call: Call
    waited_ms: int = 0


class PassAnswer(NamedTuple):
    """Return the answer to a forwarded call."""

    call_id: int
    answer: CallAnswer


class LeaderBeat(NamedTuple):
    """Signal that the leader is alive, and list the control processes."""

    leader: str
    controls: tuple[str, ...]


LeaderMessage = PassAnswer | LeaderBeat | NotLeader

_CALLS = MessageSet(
    JobCall,
    AnnounceWorker,
    WorkerLeft,
    ReplaceCatalog,
    ReadCatalog,
    BeginWave,
    ReadWave,
    ChangeEvacuation,
)
LEADER_MESSAGES = MessageSet(PassAnswer, LeaderBeat, NotLeader)

# Older versions send no waiting time.
_PACKED_LENGTHS = (2, 3)


def pack_call(passed: PassCall) -> list[Any]:
    """Return a call, its id and its waiting time as plain values."""
    return [passed.call_id, _CALLS.pack(passed.call), passed.waited_ms]


def unpack_call(plain: Any) -> PassCall:
    """Decode a call from plain values, or raise ``WireError``."""
    if not isinstance(plain, list) or len(plain) not in _PACKED_LENGTHS:
        raise WireError('wire.E002', 'Expected a list of call id and call.')
    call_id, call, *waited_ms = plain
    return PassCall(
        load_plain(int, call_id),
        _CALLS.unpack(call),
        *(load_plain(int, one) for one in waited_ms),
    )
