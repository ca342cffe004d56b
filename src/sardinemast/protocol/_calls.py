"""Calls that any process passes on to the leader, and their answers."""

from enum import StrEnum
from typing import Any, NamedTuple

from sardinemast.jobs import Catalog, JobRequest, Worker
from sardinemast.protocol._messages import NotLeader
from sardinemast.wire import MessageSet, WireError, load_plain


class JobAction(StrEnum):
    """What a caller wants of a job, or of a whole queue."""

    submit = 'submit'
    read = 'read'
    cancel = 'cancel'


class JobCall(NamedTuple):
    """Submit, read or cancel the job that a path names.

    The queue is the one of the host with the longest prefix of the path, the
    rest of the path is the job's name. To read a queue itself gives how many
    jobs wait there. ``request`` is set to submit.
    """

    action: JobAction
    host: str
    path: str
    key: str
    request: JobRequest | None = None


class AnnounceWorker(NamedTuple):
    """Say that a worker is there; ``sequence`` grows with each word."""

    worker: Worker
    sequence: int


class WorkerLeft(NamedTuple):
    """Say that a worker ends now."""

    worker: str


class ReplaceCatalog(NamedTuple):
    """Put an operator's catalog in force."""

    catalog: Catalog
    source: bytes


class ReadCatalog(NamedTuple):
    """Read the catalog in force."""


class BeginWave(NamedTuple):
    """Have instances maintained, at most ``cap`` of them at once."""

    number: int
    instances: tuple[str, ...]
    cap: int
    deadline_s: float


class ReadWave(NamedTuple):
    """Ask whether a wave is done."""

    number: int


Call = (
    JobCall
    | AnnounceWorker
    | WorkerLeft
    | ReplaceCatalog
    | ReadCatalog
    | BeginWave
    | ReadWave
)


class CallOutcome(StrEnum):
    """Tell what became of a call.

    ``refused`` says that nothing of it was or will be done. After
    ``uncertain`` it may have been done or may be yet.
    """

    done = 'done'
    refused = 'refused'
    uncertain = 'uncertain'
    invalid = 'invalid'
    unknown_queue = 'unknown queue'
    unknown_key = 'unknown key'
    unknown_job = 'unknown job'


class CallAnswer(NamedTuple):
    """Answer a call.

    ``status`` is a job's or a wave's, ``waiting`` the length of a queue,
    ``source`` the text of a catalog, and ``text`` says why not.
    """

    outcome: CallOutcome
    status: str = ''
    waiting: int = 0
    source: bytes = b''
    text: str = ''


class PassCall(NamedTuple):
    """Carry a call to the leader; the same id comes again in a resend."""

    call_id: int
    call: Call


class PassAnswer(NamedTuple):
    """Carry the answer to a call."""

    call_id: int
    answer: CallAnswer


class LeaderBeat(NamedTuple):
    """Show that the leader lives, and name the control processes."""

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
)
LEADER_MESSAGES = MessageSet(PassAnswer, LeaderBeat, NotLeader)

_CALL_PARTS = 2


def pack_call(passed: PassCall) -> list[Any]:
    """Give a call and its id as plain values."""
    return [passed.call_id, _CALLS.pack(passed.call)]


def unpack_call(plain: Any) -> PassCall:
    """Build a call, or raise ``WireError``."""
    if not isinstance(plain, list) or len(plain) != _CALL_PARTS:
        raise WireError('wire.E002', 'A call is an id and what is asked.')
    call_id, call = plain
    return PassCall(load_plain(int, call_id), _CALLS.unpack(call))
