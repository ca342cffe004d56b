"""Decide what the leader orders of workers, without input or output."""

from sardinemast.dispatch._events import (
    AdviceAnswered,
    DispatchEvent,
    DispatchOutput,
    StartAnswered,
    WorkerPolled,
)
from sardinemast.dispatch._instance_events import (
    InstancesListed,
    MaintenanceAnswered,
    MoveAnswered,
)
from sardinemast.dispatch._load_measurement import (
    MEASURE_EVERY_S,
    measure_pools,
)
from sardinemast.dispatch._maintenance import Upkeep
from sardinemast.dispatch._polling import Looks
from sardinemast.dispatch._pool_balancer import Moves
from sardinemast.dispatch._run_recorder import Starts
from sardinemast.dispatch._settings import DispatchSettings
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._stragglers import StragglerDetector
from sardinemast.dispatch._tickets import Tickets
from sardinemast.jobs import Command, JobsState
from sardinemast.jobs.commands import (
    CancelJob,
    ForgetWorker,
    NoteMove,
    NoteUpkeep,
    OpenOccurrence,
    RecordRuns,
    RegisterWorker,
)

# Workers that answer are looked at again at once; only leases that end and
# looks that are tried again wait for this. A pass over 1,900 workers takes
# 5 ms, and leases are bounded on the safe side by 300 ms.
_PASS_EVERY_S = 0.1


class Dispatcher:
    """Lead the workers: look, start, stop, pace and maintain for a term."""

    def __init__(self, settings: DispatchSettings) -> None:
        self._state = DispatchState(settings)
        self._looks = Looks(self._state)
        self._tickets = Tickets(self._state)
        self._starts = Starts(self._state, self._tickets)
        self._stragglers = StragglerDetector(self._state)
        self._upkeep = Upkeep(self._state)
        self._moves = Moves(self._state)
        self._measured_s: float = 0
        self._passed_s = float('-inf')
        self._opening: set[tuple[str, int]] = set()

    def start_term(self, state: JobsState, term: int, now_s: float) -> None:
        """Lead the workers from now on."""
        self._state.start_term(state, term, now_s)
        self._looks.start_term()
        self._starts.start_term()
        self._tickets.start_term()
        self._stragglers.start_term()
        self._upkeep.start_term()
        self._moves.start_term()
        self._opening.clear()
        self._passed_s = float('-inf')

    def record_order_time(self, command: Command, now_s: float) -> None:
        """Follow a command that was applied, also where another leads."""
        if isinstance(command, NoteMove | NoteUpkeep):
            self._state.order_times.note(command.instance, now_s)

    def reset_order_times(self, now_s: float) -> None:
        """Note that commands up to now were not followed one by one."""
        self._state.order_times.reset_order_times(now_s)

    def tick(self, now_s: float, now_ms: int) -> list[DispatchOutput]:
        """Do what time has made due."""
        self._state.outputs = []
        self._state.now_ms = now_ms
        self._open_due(now_ms)
        if now_s >= self._passed_s + _PASS_EVERY_S:
            self._passed_s = now_s
            self._pass_over(now_s)
        if now_s >= self._measured_s + MEASURE_EVERY_S:
            self._measured_s = now_s
            self._state.loads = measure_pools(self._state, now_s)
            self._moves.tick(now_s, now_ms)
        self._upkeep.tick(now_s, now_ms)
        self._record(now_s, now_ms)
        return self._state.outputs

    def step(
        self,
        event: DispatchEvent,
        now_s: float,
        now_ms: int,
    ) -> list[DispatchOutput]:
        """Take an answer of a worker, or of who runs the instances."""
        self._state.outputs = []
        self._state.now_ms = now_ms
        if isinstance(event, MaintenanceAnswered):
            self._upkeep.take_answer(event, now_s)
        elif isinstance(event, MoveAnswered):
            self._moves.take_answer(event, now_s)
        elif isinstance(event, InstancesListed):
            self._moves.take_list(event)
            self._upkeep.take_list(event, now_s)
        elif isinstance(event, AdviceAnswered):
            if self._tickets.take_answer(event, now_s):
                self._state.is_changed = True
        else:
            self._take_worker_answer(event, now_s)
        self._record(now_s, now_ms)
        return self._state.outputs

    def handle_applied(
        self,
        command: Command,
        now_s: float,
        now_ms: int,
    ) -> list[DispatchOutput]:
        """Go on after a command of the log was applied."""
        self._state.outputs = []
        self._state.now_ms = now_ms
        self._state.is_changed = True
        if isinstance(command, RecordRuns):
            if self._starts.take_recorded(command, now_s):
                self._looks.take_note(now_s)
        elif isinstance(command, CancelJob):
            self._state.stop_job(command.name, now_s)
        elif isinstance(command, ForgetWorker):
            self._looks.note_forgotten(command)
        elif isinstance(command, OpenOccurrence):
            self._opening.discard((command.job, command.occurrence))
        elif isinstance(command, RegisterWorker):
            self._looks.follow_workers(now_s)
        elif isinstance(command, NoteUpkeep):
            self._upkeep.note_applied(command)
        elif isinstance(command, NoteMove):
            self._moves.note_applied(command)
        self._record(now_s, now_ms)
        return self._state.outputs

    def record_announcement(self, worker: str, now_s: float) -> None:
        """Note that a worker has announced itself."""
        contact = self._state.contacts.get(worker)
        if contact is not None:
            contact.announced_s = now_s
            contact.is_leaving = False

    def record_leaving(self, worker: str, now_s: float) -> None:
        """Note that a worker has said that it ends now.

        It may say so a little before it does. What it runs counts until its
        lease has ended or another worker has taken its place.
        """
        contact = self._state.contacts.get(worker)
        if contact is not None:
            contact.is_leaving = True
            contact.looks.due_s = now_s

    def _pass_over(self, now_s: float) -> None:
        self._looks.follow_workers(now_s)
        for contact in tuple(self._state.contacts.values()):
            self._looks.check_lease(contact, now_s)
            self._looks.look(contact, now_s)

    def _take_worker_answer(
        self,
        event: WorkerPolled | StartAnswered,
        now_s: float,
    ) -> None:
        contact = self._state.contacts.get(event.worker)
        if contact is None:
            return
        if isinstance(event, WorkerPolled):
            ends = self._looks.take(contact, event, now_s)
            self._starts.note_ends(contact, ends, now_s)
            self._stragglers.note_ends(contact, ends, now_s)
            if event.answer is not None:
                self._stragglers.judge(contact, now_s)
        else:
            self._starts.take_answer(contact, event, now_s)
            self._looks.look(contact, now_s)

    def _record(self, now_s: float, now_ms: int) -> None:
        if self._starts.is_recording:
            return
        self._starts.record(now_s, now_ms)
        self._looks.note_proposed()
        # Ends of runs that the log has ended before need no entry.
        if not self._starts.is_recording:
            self._looks.take_note(now_s)

    def _open_due(self, now_ms: int) -> None:
        for job in self._state.jobs.live.values():
            request = job.request
            place = len(job.steps)
            due_ms = request.first_due_ms + place * request.interval_ms
            if place < request.occurrences and now_ms >= due_ms:
                if (job.name, place) not in self._opening:
                    self._opening.add((job.name, place))
                    self._state.propose(OpenOccurrence(job.name, place))
