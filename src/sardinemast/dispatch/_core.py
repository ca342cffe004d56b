"""Turn events into orders for workers and instances, without I/O."""

from collections import Counter

from sardinemast.dispatch._duration_learner import DurationLearner
from sardinemast.dispatch._events import (
    AdviceAnswered,
    DispatchEvent,
    DispatchOutput,
    StartAnswered,
    WorkerContested,
    WorkerPolled,
)
from sardinemast.dispatch._failure_domains import FailureDomains
from sardinemast.dispatch._instance_events import (
    InstancesListed,
    MaintenanceAnswered,
    MoveAnswered,
)
from sardinemast.dispatch._load_measurement import (
    MEASURE_INTERVAL_S,
    measure_loads,
    measure_stranded,
)
from sardinemast.dispatch._long_running_waits import LongRunningWaits
from sardinemast.dispatch._maintenance import MaintenanceRunner
from sardinemast.dispatch._polling import WorkerPoller
from sardinemast.dispatch._pool_balancer import PoolBalancer
from sardinemast.dispatch._preemptor import Preemptor
from sardinemast.dispatch._rate_monitor import RateMonitor
from sardinemast.dispatch._run_recorder import RunRecorder
from sardinemast.dispatch._settings import DispatchSettings
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._stragglers import StragglerDetector
from sardinemast.dispatch._tickets import TicketCache
from sardinemast.dispatch._unresolved_orders import UnresolvedOrders
from sardinemast.dispatch._wait_estimates import WaitEstimates
from sardinemast.dispatch._waiting_tasks import WaitingTasks
from sardinemast.dispatch._withheld_gauges import list_withheld_gauges
from sardinemast.jobs import Command, JobsState
from sardinemast.jobs.commands import (
    CancelJob,
    EvacuateDataCentre,
    ForgetWorker,
    NoteInstanceRecords,
    NoteMove,
    NoteUpkeep,
    OpenOccurrence,
    PreemptRuns,
    ReadmitDataCentre,
    RecordRuns,
    RegisterWorker,
    SubmitJob,
)

# Bounds how late expired leases and polls to retry are noticed. A worker that
# answers is polled again at once. A pass over 1,900 workers takes 5 ms, and
# leases end 300 ms (``margin_s``) on the safe side.
_POLL_INTERVAL_S = 0.1


class Dispatcher:
    """Poll workers, start and stop runs, size pools and run maintenance.

    ``waits`` tells how long a submitted job would wait for capacity.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._state = DispatchState(settings)
        self._poller = WorkerPoller(self._state)
        self._domains = FailureDomains(self._state, self._poller)
        self._tickets = TicketCache(self._state)
        self._long_running_waits = LongRunningWaits()
        self._recorder = RunRecorder(
            self._state, self._tickets, self._long_running_waits
        )
        self._stragglers = StragglerDetector(self._state)
        self._learner = DurationLearner(self._state)
        self._maintenance = MaintenanceRunner(self._state)
        self._balancer = PoolBalancer(self._state)
        self._rates = RateMonitor(self._state)
        self._preemptor = Preemptor(self._state)
        self._waiting_tasks = WaitingTasks(
            self._state, self._long_running_waits, self._recorder.is_allowed
        )
        self._unresolved = UnresolvedOrders(self._state)
        self._last_measured_s: float = 0
        self._last_polled_s = float('-inf')
        self._opening: set[tuple[str, int]] = set()
        self.waits = WaitEstimates(self._state)

    def start_term(self, state: JobsState, term: int, now_s: float) -> None:
        """Start to lead with the given replicated state."""
        self._state.start_term(state, term, now_s)
        self._start_parts()
        self._long_running_waits.start_term()
        self._waiting_tasks.start_term()
        self._unresolved.start_term()
        self._opening.clear()
        self._last_polled_s = float('-inf')

    def record_order_time(self, command: Command, now_s: float) -> None:
        """Record when an order or a start was applied, on any replica."""
        if isinstance(command, NoteMove | NoteUpkeep):
            self._state.order_times.record(command.instance, now_s)
        elif isinstance(command, RecordRuns):
            self._state.order_times.starts.record(command, now_s)

    def reset_order_times(self, now_s: float) -> None:
        """Treat all order times as unknown, after restoring a snapshot."""
        self._state.order_times.mark_unknown_until(now_s)

    def tick(self, now_s: float, now_ms: int) -> list[DispatchOutput]:
        """Perform all work that is due."""
        self._state.outputs = []
        self._state.now_ms = now_ms
        self._domains.record_tick(now_s)
        self._open_due_occurrences(now_ms)
        if now_s >= self._last_polled_s + _POLL_INTERVAL_S:
            self._last_polled_s = now_s
            self._poll_workers(now_s)
        if now_s >= self._last_measured_s + MEASURE_INTERVAL_S:
            self._last_measured_s = now_s
            self._measure_pools(now_s, now_ms)
        self._maintenance.tick(now_s, now_ms)
        self._learner.tick(now_s)
        self._preemptor.tick(now_s, now_ms)
        self._resolve_waits(now_s)
        return self._finish(now_s, now_ms)

    def step(
        self,
        event: DispatchEvent,
        now_s: float,
        now_ms: int,
    ) -> list[DispatchOutput]:
        """Handle an answer, or a claim to the place of a worker."""
        self._state.outputs = []
        self._state.now_ms = now_ms
        self._domains.detect_pause(now_s)
        if isinstance(event, MaintenanceAnswered):
            self._maintenance.handle_answer(event, now_s)
        elif isinstance(event, MoveAnswered):
            self._balancer.handle_answer(event, now_s)
        elif isinstance(event, InstancesListed):
            self._balancer.handle_list(event)
            self._maintenance.handle_list(event, now_s)
        elif isinstance(event, AdviceAnswered):
            if self._tickets.handle_answer(event, now_s):
                self._state.needs_planning = True
        elif isinstance(event, WorkerContested):
            self._poller.contest(event.worker, now_s)
        else:
            self._unresolved.record_result(event)
            self._handle_worker_answer(event, now_s)
        return self._finish(now_s, now_ms)

    def handle_applied(
        self,
        command: Command,
        now_s: float,
        now_ms: int,
    ) -> list[DispatchOutput]:
        """React to a command that was applied, while this process leads."""
        self._state.outputs = []
        self._state.now_ms = now_ms
        # Records of instances add neither tasks nor capacity.
        if not isinstance(command, NoteInstanceRecords):
            self._state.needs_planning = True
        if isinstance(command, RecordRuns):
            if self._recorder.handle_recorded(command, now_s):
                self._poller.acknowledge_ends(now_s)
        elif isinstance(command, PreemptRuns):
            self._preemptor.handle_applied(command, now_s)
        elif isinstance(command, CancelJob):
            self._state.stop_job(command.name, now_s)
        elif isinstance(command, OpenOccurrence):
            self._opening.discard((command.job, command.occurrence))
        else:
            self._handle_fleet_change(command, now_s)
        return self._finish(now_s, now_ms)

    def record_announcement(
        self, worker: str, clock_ms: int, now_s: float
    ) -> None:
        """Record an announcement of a worker, and its clock if it tells it.

        The announcement may have been under way for long, which makes the
        clock show less than it does now, never more.
        """
        session = self._state.sessions.get(worker)
        if session is None:
            return
        session.last_announced_s = now_s
        session.is_leaving = False
        # The clock of an earlier boot is another one.
        if session.boot_ms and session.boot_ms == session.worker.boot_ms:
            session.record_clock(clock_ms, now_s)

    def record_leaving(self, worker: str, now_s: float) -> None:
        """Record that a worker is shutting down.

        Its runs still count until its lease expires or another worker takes
        its place, since it may announce the shutdown before it stops.
        """
        session = self._state.sessions.get(worker)
        if session is not None:
            session.is_leaving = True
            session.poll_state.due_s = now_s

    def list_gauges(self) -> dict[str, dict[str, float]]:
        """Return the values by label of each gauge that a leader keeps."""
        totals: Counter[str] = Counter()
        for shares in self._state.team_shares.values():
            totals.update(shares)
        return {
            'team_share_millicores': dict(totals),
            'racks_suspected': {'': float(self._domains.suspected_count)},
            'long_running_waiting': self._waiting_tasks.count_by_pool(),
            **list_withheld_gauges(self._state, self._last_polled_s),
        }

    def _start_parts(self) -> None:
        self._poller.start_term()
        self._recorder.start_term()
        self._tickets.start_term()
        self._stragglers.start_term()
        self._maintenance.start_term()
        self._balancer.start_term()
        self._preemptor.start_term()

    def _handle_fleet_change(self, command: Command, now_s: float) -> None:
        if isinstance(command, ForgetWorker):
            self._poller.handle_forgotten(command)
        elif isinstance(command, RegisterWorker):
            self._poller.sync_sessions(now_s)
        elif isinstance(command, NoteUpkeep):
            self._maintenance.handle_applied(command)
        elif isinstance(command, NoteMove):
            self._balancer.handle_applied(command)
        elif isinstance(command, EvacuateDataCentre):
            self._state.log('data_centre.evacuated', command.data_centre)
        elif isinstance(command, ReadmitDataCentre):
            self._state.log('data_centre.readmitted', command.data_centre)
        elif isinstance(command, SubmitJob):
            self._rates.handle_submitted(command, now_s)

    def _measure_pools(self, now_s: float, now_ms: int) -> None:
        self._long_running_waits.update(self._state.jobs, now_s)
        stranded = measure_stranded(
            self._state, self._long_running_waits, now_s
        )
        stranded.update(self._maintenance.displaced_millicores)
        self._state.loads = measure_loads(self._state, stranded, now_s)
        self._balancer.tick(now_s, now_ms)
        self.waits.measure(now_s)

    def _poll_workers(self, now_s: float) -> None:
        self._poller.sync_sessions(now_s)
        self._domains.tick(now_s)
        if not self._recorder.is_recording:
            self._poller.forget_without_pool()
        for session in tuple(self._state.sessions.values()):
            self._poller.expire_lease(session, now_s)
            self._poller.poll(session, now_s)

    def _handle_worker_answer(
        self,
        event: WorkerPolled | StartAnswered,
        now_s: float,
    ) -> None:
        if isinstance(event, StartAnswered):
            self._state.starts_in_flight.record_answered(
                event.task, event.number
            )
        session = self._state.sessions.get(event.worker)
        if session is None:
            return
        self._domains.record_answer(session, event, now_s)
        if isinstance(event, WorkerPolled):
            ends = self._poller.handle_polled(session, event, now_s)
            self._recorder.record_ends(session, ends, now_s)
            self._learner.record_ends(session, ends, now_s)
            self._stragglers.record_ends(session, ends, now_s)
            self._preemptor.record_report(session, now_s)
            if event.answer is not None:
                self._stragglers.stop_stragglers(session, now_s)
        else:
            self._recorder.handle_answer(session, event, now_s)
            self._poller.poll(session, now_s)

    def _resolve_waits(self, now_s: float) -> None:
        """Log tasks that wait for long, and resolve overdue orders."""
        self._waiting_tasks.tick(now_s)
        for result in self._unresolved.take_overdue(now_s):
            self._handle_worker_answer(result, now_s)

    def _finish(self, now_s: float, now_ms: int) -> list[DispatchOutput]:
        """Propose starts and ends, and return all outputs."""
        self._propose_runs(now_s, now_ms)
        self._unresolved.record_sent(self._state.outputs, now_s)
        return self._state.outputs

    def _propose_runs(self, now_s: float, now_ms: int) -> None:
        if self._recorder.is_recording:
            return
        self._recorder.propose_due(now_s, now_ms)
        self._poller.mark_ends_proposed()
        # Without a proposal, all reported ends are already in the log.
        if not self._recorder.is_recording:
            self._poller.acknowledge_ends(now_s)

    def _open_due_occurrences(self, now_ms: int) -> None:
        for job in self._state.jobs.live.values():
            request = job.request
            occurrence = len(job.steps)
            due_ms = request.first_due_ms + occurrence * request.interval_ms
            if occurrence < request.occurrences and now_ms >= due_ms:
                if (job.name, occurrence) not in self._opening:
                    self._opening.add((job.name, occurrence))
                    self._state.propose(OpenOccurrence(job.name, occurrence))
