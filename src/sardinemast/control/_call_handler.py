"""The leader's side of calls: jobs, announcements, catalogs, waves."""

from collections import defaultdict
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, NamedTuple

from sardinemast.control._context import INTERNAL_REQUEST, ControlContext
from sardinemast.control._events import AnswerCall
from sardinemast.jobs import (
    Command,
    JobsState,
    JobState,
    MaintenanceStatus,
    Queue,
    Worker,
    check_catalog,
    commands,
)
from sardinemast.jobs.queries import count_queued_jobs, find_queue, find_team
from sardinemast.protocol import (
    AnnounceWorker,
    BeginWave,
    Call,
    CallAnswer,
    CallOutcome,
    JobAction,
    JobCall,
    ReadCatalog,
    ReadWave,
    ReplaceCatalog,
    WorkerLeft,
)

_MS = 1000
_DONE = CallAnswer(CallOutcome.done)


class Caller(NamedTuple):
    """Name the stream and the call that wait for an answer."""

    stream_id: int
    call_id: int


class CallHandler:
    """Answer calls, those that change something once the log has them."""

    def __init__(
        self,
        context: ControlContext,
        record_announcement: Callable[[str, float], None],
        record_leaving: Callable[[str, float], None],
    ) -> None:
        self._context = context
        self._note_announced = record_announcement
        self._note_leaving = record_leaving
        self._waiting: dict[Any, list[Caller]] = defaultdict(list)
        self._sequences: dict[tuple[str, int], int] = {}
        # Each look-up of a dispatching method makes a new function.
        self._take_call = self._take

    def start_term(self) -> None:
        """Know of no announcements of a former term."""
        self._sequences.clear()

    def end_term(self) -> None:
        """Tell all that wait that the next leader may have it, or not."""
        answer = CallAnswer(CallOutcome.uncertain)
        for key in tuple(self._waiting):
            self._answer_waiting(key, answer)

    def take(
        self,
        caller: Caller,
        call: Call,
        now_s: float,
        now_ms: int,
    ) -> None:
        """Answer a call now, or once its command is applied."""
        answer = self._take_call(call, caller, now_s, now_ms)
        if answer is not None:
            self._answer(caller, answer)

    def note_applied(self, command: Command) -> None:
        """Answer those who waited for the command."""
        key = _get_key(command)
        if key is not None:
            self._answer_waiting(key, self._judge(command))

    @property
    def _state(self) -> JobsState:
        return self._context.state.subsystems.jobs

    @singledispatchmethod
    def _take(
        self,
        call: Call,
        caller: Caller,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        raise TypeError(call)

    @_take.register
    def _take_job(
        self,
        call: JobCall,
        caller: Caller,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        queue = find_queue(self._state, call.host, call.path)
        if queue is None:
            return CallAnswer(CallOutcome.unknown_queue)
        team = find_team(self._state, call.key)
        if team is None and not queue.is_public:
            return CallAnswer(CallOutcome.unknown_key)
        name = call.path[len(queue.prefix) :]
        team_name = team.name if team else ''
        if call.action is JobAction.submit:
            return self._submit(call, queue, team_name, name, caller, now_ms)
        return self._take_named(call.action, queue, name, caller)

    def _take_named(
        self,
        action: JobAction,
        queue: Queue,
        name: str,
        caller: Caller,
    ) -> CallAnswer | None:
        if action is JobAction.read and not name:
            waiting = count_queued_jobs(self._state, queue.name)
            return CallAnswer(CallOutcome.done, waiting=waiting)
        job = self._find_job(queue, name)
        if job is None:
            return CallAnswer(CallOutcome.unknown_job)
        if action is JobAction.cancel and not job.is_over:
            self._propose(commands.CancelJob(name), caller)
            return None
        return CallAnswer(CallOutcome.done, status=job.status.value)

    @_take.register
    def _take_announcement(
        self,
        call: AnnounceWorker,
        caller: Caller,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        worker = call.worker
        boot = (worker.name, worker.boot_ms)
        known = self._state.workers.get(worker.name)
        # A word that was held up on its way must not undo a later one.
        if call.sequence < self._sequences.get(boot, 0):
            return _DONE
        if known is not None and known.boot_ms > worker.boot_ms:
            return _DONE
        self._sequences[boot] = call.sequence
        if known is not None and _is_drain_undone(known, worker):
            worker = worker._replace(is_draining=True)
        if known == worker:
            self._note_announced(worker.name, now_s)
            return _DONE
        self._propose(commands.RegisterWorker(worker), caller)
        return None

    @_take.register
    def _take_leaving(
        self,
        call: WorkerLeft,
        caller: Caller,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        self._note_leaving(call.worker, now_s)
        return _DONE

    @_take.register
    def _take_catalog(
        self,
        call: ReplaceCatalog,
        caller: Caller,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        findings = check_catalog(call.catalog)
        if findings:
            text = '; '.join(f'{one.code} {one.path}' for one in findings)
            return CallAnswer(CallOutcome.invalid, text=text)
        if call.catalog.version <= self._state.catalog.version:
            return _DONE
        self._propose(
            commands.PutCatalog(call.catalog, call.source),
            caller,
        )
        return None

    @_take.register
    def _take_reading(
        self,
        call: ReadCatalog,
        caller: Caller,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        if not self._state.source:
            return CallAnswer(CallOutcome.refused)
        return CallAnswer(CallOutcome.done, source=self._state.source)

    @_take.register
    def _take_wave(
        self,
        call: BeginWave,
        caller: Caller,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        if call.number in self._state.waves:
            return _DONE
        due_ms = now_ms + int(call.deadline_s * _MS)
        wave = commands.DeclareWave(
            call.number,
            call.instances,
            call.cap,
            now_ms,
            due_ms,
        )
        self._propose(wave, caller)
        return None

    @_take.register
    def _take_wave_reading(
        self,
        call: ReadWave,
        caller: Caller,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        wave = self._state.waves.get(call.number)
        if wave is None:
            return CallAnswer(CallOutcome.unknown_job)
        is_done = all(
            one.status is MaintenanceStatus.done for one in wave.items
        )
        return CallAnswer(
            CallOutcome.done,
            status='done' if is_done else 'running',
        )

    def _submit(
        self,
        call: JobCall,
        queue: Queue,
        team: str,
        name: str,
        caller: Caller,
        now_ms: int,
    ) -> CallAnswer | None:
        if call.request is None or not name:
            return CallAnswer(CallOutcome.invalid)
        if name in self._state.jobs:
            return _DONE
        command = commands.SubmitJob(
            name,
            queue.name,
            team,
            call.request,
            now_ms,
        )
        self._propose(command, caller)
        return None

    def _find_job(self, queue: Queue, name: str) -> JobState | None:
        job = self._state.jobs.get(name)
        if job is None or job.queue.name != queue.name:
            return None
        return job

    def _judge(self, command: Command) -> CallAnswer:
        # Between proposal and application a new catalog may have taken the
        # queue away; then nothing was done.
        is_missed = (
            isinstance(command, commands.SubmitJob)
            and command.name not in self._state.jobs
        )
        return CallAnswer(CallOutcome.unknown_queue) if is_missed else _DONE

    def _propose(self, command: Command, caller: Caller) -> None:
        key = _get_key(command)
        is_first = key not in self._waiting
        self._waiting[key].append(caller)
        if is_first:
            self._context.propose(command, INTERNAL_REQUEST, 0)

    def _answer_waiting(self, key: Any, answer: CallAnswer) -> None:
        for caller in self._waiting.pop(key, ()):
            self._answer(caller, answer)

    def _answer(self, caller: Caller, answer: CallAnswer) -> None:
        self._context.outputs.append(AnswerCall(*caller, answer))


def _is_drain_undone(known: Worker, worker: Worker) -> bool:
    # One that drains ends; a word that says otherwise was said before.
    return known.boot_ms == worker.boot_ms and known.is_draining


def _get_key(command: Command) -> Any:
    """Give by what the callers that wait for a command know it."""
    if isinstance(command, commands.SubmitJob | commands.CancelJob):
        return (type(command), command.name)
    if isinstance(command, commands.RegisterWorker):
        return (type(command), command.worker)
    if isinstance(command, commands.PutCatalog):
        return (type(command), command.catalog.version, command.source)
    if isinstance(command, commands.DeclareWave):
        return (type(command), command.number)
    return None
