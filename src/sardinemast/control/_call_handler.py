"""Handle calls to the leader: jobs, workers, catalogs and waves."""

from collections import defaultdict
from functools import singledispatchmethod
from typing import Any, NamedTuple

from sardinemast.control._catalog_barrier import CatalogBarrier
from sardinemast.control._context import INTERNAL_REQUEST, ControlContext
from sardinemast.control._events import AnswerCall
from sardinemast.control._job_admission import JobAdmission
from sardinemast.control._worker_registrar import WorkerHooks, WorkerRegistrar
from sardinemast.fleet import refuse_unknown_data_centre
from sardinemast.jobs import (
    Command,
    JobsState,
    MaintenanceStatus,
    Queue,
    check_catalog,
    commands,
)
from sardinemast.jobs.queries import (
    count_queued_jobs,
    find_job,
    find_queue,
    find_team,
)
from sardinemast.protocol import (
    AnnounceWorker,
    BeginWave,
    Call,
    CallAnswer,
    CallOutcome,
    ChangeEvacuation,
    JobAction,
    JobCall,
    ReadCatalog,
    ReadWave,
    ReplaceCatalog,
    WorkerLeft,
)

_MS = 1000
_DONE = CallAnswer(CallOutcome.done)


class CallerId(NamedTuple):
    """Identify a call and the stream that awaits its answer.

    ``received_s`` is when the call arrived at an entry.
    """

    stream_id: int
    call_id: int
    received_s: float = 0


class _Submission(NamedTuple):
    """Hold the submission of a job and its caller."""

    call: JobCall
    caller: CallerId


class CallHandler:
    """Answer calls to the leader.

    A call that changes the state is answered once its command is applied;
    callers that wait for equal commands share one proposal.
    """

    def __init__(
        self,
        context: ControlContext,
        hooks: WorkerHooks,
        admission: JobAdmission,
    ) -> None:
        self._context = context
        self._record_leaving = hooks.record_leaving
        self._registrar = WorkerRegistrar(context, hooks)
        self._admission = admission
        self._waiting: dict[Any, list[CallerId]] = defaultdict(list)
        self._catalogs: CatalogBarrier[_Submission] = CatalogBarrier()
        # Bound once: each attribute access of a singledispatchmethod creates a
        # new function.
        self._handle_call = self._handle

    def start_term(self) -> None:
        """Discard what was announced in an earlier term."""
        self._registrar.start_term()

    def end_term(self) -> None:
        """Answer all waiting callers that the outcome is uncertain."""
        answer = CallAnswer(CallOutcome.uncertain)
        for key in tuple(self._waiting):
            self._answer_waiting(key, answer)
        for held in self._catalogs.end_term():
            self._answer(held.caller, answer)

    def handle(
        self,
        caller: CallerId,
        call: Call,
        now_s: float,
        now_ms: int,
    ) -> None:
        """Answer a call now, or propose its command and answer later."""
        answer = self._handle_call(call, caller, now_s, now_ms)
        if answer is not None:
            self._answer(caller, answer)

    def handle_applied(
        self, command: Command, now_s: float, now_ms: int
    ) -> None:
        """Answer the callers that wait for the command."""
        if isinstance(command, commands.SubmitJob):
            self._admission.handle_applied(command.name)
        elif isinstance(command, commands.ForgetWorker):
            for follow in self._registrar.take_successors(command, now_s):
                self._context.propose(follow, INTERNAL_REQUEST, now_s)
        key = _get_wait_key(command)
        if key is not None:
            self._answer_waiting(key, self._make_result(command))
        if isinstance(command, commands.PutCatalog):
            for held in self._catalogs.record_applied(command):
                self.handle(held.caller, held.call, now_s, now_ms)

    @property
    def _state(self) -> JobsState:
        return self._context.state.subsystems.jobs

    @singledispatchmethod
    def _handle(
        self,
        call: Call,
        caller: CallerId,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        raise TypeError(call)

    @_handle.register
    def _handle_job(
        self,
        call: JobCall,
        caller: CallerId,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        if call.action is JobAction.submit and self._catalogs.is_closed:
            self._catalogs.hold(_Submission(call, caller))
            return None
        queue = find_queue(self._state, call.host, call.path)
        if queue is None:
            return CallAnswer(CallOutcome.unknown_queue)
        team = find_team(self._state, call.key)
        if team is None and not queue.is_public:
            return CallAnswer(CallOutcome.unknown_key)
        name = call.path[len(queue.prefix) :]
        team_name = team.name if team else ''
        if call.action is JobAction.submit:
            if call.request is None or not name:
                return CallAnswer(CallOutcome.invalid)
            command = commands.SubmitJob(
                name, queue.name, team_name, call.request, now_ms
            )
            return self._submit(command, caller, now_s)
        return self._handle_named_job(call.action, queue, name, caller)

    def _handle_named_job(
        self,
        action: JobAction,
        queue: Queue,
        name: str,
        caller: CallerId,
    ) -> CallAnswer | None:
        if action is JobAction.read and not name:
            waiting = count_queued_jobs(self._state, queue)
            return CallAnswer(CallOutcome.done, waiting=waiting)
        job = find_job(self._state, queue, name)
        if job is None:
            return CallAnswer(CallOutcome.unknown_job)
        if action is JobAction.cancel and not job.is_over:
            self._propose(commands.CancelJob(name), caller)
            return None
        return CallAnswer(CallOutcome.done, status=job.status.value)

    @_handle.register
    def _handle_announcement(
        self,
        call: AnnounceWorker,
        caller: CallerId,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        decided = self._registrar.decide(call, now_s)
        if isinstance(decided, CallAnswer):
            return decided
        self._propose(decided, caller)
        return None

    @_handle.register
    def _handle_departure(
        self,
        call: WorkerLeft,
        caller: CallerId,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        self._record_leaving(call.worker, now_s)
        return _DONE

    @_handle.register
    def _handle_replace_catalog(
        self,
        call: ReplaceCatalog,
        caller: CallerId,
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

    @_handle.register
    def _handle_read_catalog(
        self,
        call: ReadCatalog,
        caller: CallerId,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        if not self._state.source:
            return CallAnswer(CallOutcome.refused)
        return CallAnswer(CallOutcome.done, source=self._state.source)

    @_handle.register
    def _handle_begin_wave(
        self,
        call: BeginWave,
        caller: CallerId,
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

    @_handle.register
    def _handle_evacuation(
        self,
        call: ChangeEvacuation,
        caller: CallerId,
        now_s: float,
        now_ms: int,
    ) -> CallAnswer | None:
        refusal = refuse_unknown_data_centre(
            self._context.state, call.data_centre
        )
        if refusal is not None:
            text = f'{refusal.code} {refusal.text}'
            return CallAnswer(CallOutcome.invalid, text=text)
        # Also proposed if it is in force: an opposite command may be in flight.
        self._propose(_make_evacuation(call), caller)
        return None

    @_handle.register
    def _handle_read_wave(
        self,
        call: ReadWave,
        caller: CallerId,
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
        command: commands.SubmitJob,
        caller: CallerId,
        now_s: float,
    ) -> CallAnswer | None:
        if command.name in self._state.jobs:
            return _DONE
        admitted: commands.SubmitJob | CallAnswer = command
        # A job whose proposal is in progress may run, so it is never refused.
        if _get_wait_key(command) not in self._waiting:
            admitted = self._admission.admit(command, caller.received_s, now_s)
        if isinstance(admitted, CallAnswer):
            return admitted
        self._propose(admitted, caller)
        return None

    def _make_result(self, command: Command) -> CallAnswer:
        # A catalog applied after the proposal may have removed the queue; the
        # job was not created then.
        is_missed = (
            isinstance(command, commands.SubmitJob)
            and command.name not in self._state.jobs
        )
        return CallAnswer(CallOutcome.unknown_queue) if is_missed else _DONE

    def _propose(self, command: Command, caller: CallerId) -> None:
        key = _get_wait_key(command)
        is_first = key not in self._waiting
        self._waiting[key].append(caller)
        if isinstance(command, commands.PutCatalog):
            self._catalogs.record_proposed(command)
        if is_first:
            self._context.propose(command, INTERNAL_REQUEST, 0)

    def _answer_waiting(self, key: Any, answer: CallAnswer) -> None:
        for caller in self._waiting.pop(key, ()):
            self._answer(caller, answer)

    def _answer(self, caller: CallerId, answer: CallAnswer) -> None:
        self._context.outputs.append(
            AnswerCall(caller.stream_id, caller.call_id, answer)
        )


def _make_evacuation(call: ChangeEvacuation) -> commands.EvacuationCommand:
    """Return the command of a call to evacuate or readmit a data centre."""
    if call.is_evacuated:
        return commands.EvacuateDataCentre('', call.data_centre)
    return commands.ReadmitDataCentre('', call.data_centre)


def _get_wait_key(command: Command) -> Any:
    """Return the key under which callers wait for a command."""
    if isinstance(command, commands.SubmitJob | commands.CancelJob):
        return (type(command), command.name)
    if isinstance(command, commands.RegisterWorker):
        return (type(command), command.worker)
    if isinstance(command, commands.PutCatalog):
        return (type(command), command.catalog.version, command.source)
    if isinstance(command, commands.DeclareWave):
        return (type(command), command.number)
    if isinstance(command, commands.EvacuationCommand):
        return (type(command), *command)
    return None
