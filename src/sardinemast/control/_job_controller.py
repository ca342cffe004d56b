"""Connect callers' streams and the dispatcher at the leader."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import NamedTuple

from sardinemast.consensus import (
    BatchProposed,
    CommandProposed,
    Event,
    Replica,
)
from sardinemast.control._call_handler import CallerId, CallHandler
from sardinemast.control._context import INTERNAL_REQUEST, ControlContext
from sardinemast.control._events import (
    CallerConnected,
    CallerDisconnected,
    CallReceived,
    JobEvent,
    ProposalsDue,
    ScheduleProposals,
    SendOrder,
    SendToCaller,
)
from sardinemast.control._job_admission import JobAdmission
from sardinemast.control._wall_clock import WallClock
from sardinemast.control._worker_registrar import WorkerHooks
from sardinemast.dispatch import (
    AdviceAnswered,
    Dispatcher,
    DispatchEvent,
    DispatchOutput,
    DispatchSettings,
    LogDecision,
    MaintenanceAnswered,
    MoveAnswered,
    OrderMaintenance,
    OrderMove,
    OrderOutcome,
    PollWorker,
    Propose,
    RequestAdvice,
    StartAnswered,
    StartRun,
    WorkerContested,
    WorkerPolled,
)
from sardinemast.fleet import COMMANDS, Command
from sardinemast.jobs import Command as JobCommand
from sardinemast.protocol import LeaderBeat, NotLeader

# Callers take a leader for lost after three missed heartbeats.
_HEARTBEAT_INTERVAL_S = 0.2
_MS = 1000


class ReplicaAccess(NamedTuple):
    """Hold the replica, its step function and the leadership check."""

    replica: Replica
    is_leader: Callable[[float], bool]
    step_replica: Callable[[Event, float], None]


class JobController:
    """Serve callers' streams and execute the dispatcher's decisions."""

    def __init__(
        self,
        context: ControlContext,
        settings: DispatchSettings,
        replica_access: ReplicaAccess,
    ) -> None:
        self._context = context._replace(propose=self._add_to_batch)
        self._replica_access = replica_access
        self._clock = WallClock()
        self._dispatcher = Dispatcher(settings)
        self._admission = JobAdmission(
            settings.admission, self._context, self._dispatcher.waits
        )
        self._calls = CallHandler(
            self._context,
            WorkerHooks(
                self._dispatcher.record_announcement,
                self._dispatcher.record_leaving,
                self._contest_worker,
            ),
            self._admission,
        )
        self._streams: dict[int, None] = {}
        self._batch: list[CommandProposed] = []
        self._heartbeat_due_s: float = 0
        self._has_ticked = False
        self._is_leading = False
        # Bound once: each attribute access of a singledispatchmethod creates a
        # new function.
        self._handle_event = self._handle

    def start_term(self, now_s: float) -> None:
        """Start to lead, once all entries of earlier terms are applied."""
        self._is_leading = True
        state = self._context.state.subsystems.jobs
        term = self._replica_access.replica.term
        self._dispatcher.start_term(state, term, now_s)
        self._calls.start_term()
        self._admission.start_term(now_s)

    def end_term(self) -> None:
        """Stop leading and redirect all callers to the next leader."""
        self._is_leading = False
        self._batch.clear()
        self._calls.end_term()
        for stream_id in self._streams:
            self._send_not_leader(stream_id)

    def tick(self, now_s: float, wall_ms: int) -> None:
        """Record the time of day; as leader, send heartbeats and dispatch."""
        if wall_ms:
            self._clock.record(now_s, wall_ms)
        if not self._has_ticked:
            self._has_ticked = True
            self.handle_restored(now_s)
        if not self._replica_access.is_leader(now_s):
            return
        if now_s >= self._heartbeat_due_s:
            self._heartbeat_due_s = now_s + _HEARTBEAT_INTERVAL_S
            for stream_id in self._streams:
                self._send_heartbeat(stream_id)
        outputs = self._dispatcher.tick(now_s, self._clock.get_ms(now_s))
        self._emit(outputs, now_s)

    def list_gauges(self) -> dict[str, dict[str, float]]:
        """Return what a leader keeps in memory, nothing on other processes."""
        if not self._is_leading:
            return {}
        refused_count = float(self._admission.refused_count)
        return {
            **self._dispatcher.list_gauges(),
            'refused_jobs_remembered': {'': refused_count},
        }

    def handle(self, event: JobEvent, now_s: float) -> None:
        """Handle an event of callers' streams or the answer to an order."""
        self._handle_event(event, now_s)

    def handle_restored(self, now_s: float) -> None:
        """Reset order times after the state was restored from a snapshot."""
        self._dispatcher.reset_order_times(now_s)

    def handle_applied(self, command: Command, now_s: float) -> None:
        """Record a command; as leader, answer callers and dispatch."""
        if not isinstance(command, JobCommand):
            return
        self._dispatcher.record_order_time(command, now_s)
        if not self._is_leading:
            return
        now_ms = self._clock.get_ms(now_s)
        self._calls.handle_applied(command, now_s, now_ms)
        outputs = self._dispatcher.handle_applied(command, now_s, now_ms)
        self._emit(outputs, now_s)

    @singledispatchmethod
    def _handle(self, event: JobEvent, now_s: float) -> None:
        raise TypeError(event)

    @_handle.register
    def _handle_due(self, event: ProposalsDue, now_s: float) -> None:
        proposals = BatchProposed(tuple(self._batch))
        self._batch.clear()
        if proposals.proposals:
            self._replica_access.step_replica(proposals, now_s)

    @_handle.register
    def _handle_connected(self, event: CallerConnected, now_s: float) -> None:
        self._streams[event.stream_id] = None
        if self._replica_access.is_leader(now_s):
            self._send_heartbeat(event.stream_id)
        else:
            self._send_not_leader(event.stream_id)

    @_handle.register
    def _handle_disconnected(
        self,
        event: CallerDisconnected,
        now_s: float,
    ) -> None:
        self._streams.pop(event.stream_id, None)

    @_handle.register
    def _handle_call(self, event: CallReceived, now_s: float) -> None:
        if not self._replica_access.is_leader(now_s):
            self._send_not_leader(event.stream_id)
            return
        received_s = now_s - max(event.waited_ms, 0) / _MS
        caller = CallerId(event.stream_id, event.call_id, received_s)
        now_ms = self._clock.get_ms(now_s)
        self._calls.handle(caller, event.call, now_s, now_ms)

    @_handle.register
    def _handle_answer(
        self,
        event: DispatchEvent,
        now_s: float,
    ) -> None:
        if self._is_leading:
            now_ms = self._clock.get_ms(now_s)
            outputs = self._dispatcher.step(event, now_s, now_ms)
            self._emit(outputs, now_s)

    def _contest_worker(self, worker: str, now_s: float) -> None:
        self._handle(WorkerContested(worker), now_s)

    def _emit(self, outputs: list[DispatchOutput], now_s: float) -> None:
        if not outputs:
            return
        until_s = self._replica_access.replica.get_lease_until_s(now_s)
        may_order = self._replica_access.is_leader(now_s)
        for output in outputs:
            if isinstance(output, Propose):
                self._add_to_batch(output.command, INTERNAL_REQUEST, now_s)
            elif isinstance(output, LogDecision):
                self._context.outputs.append(output)
            elif may_order:
                self._context.outputs.append(SendOrder(output, until_s))
            else:
                self._report_not_sent(output, now_s)

    def _report_not_sent(self, order: DispatchOutput, now_s: float) -> None:
        # Without a lease, another process may already lead, and an order from
        # here could contradict its decisions.
        not_sent = make_failed_event(order, OrderOutcome.not_sent)
        if not_sent is not None:
            self._handle(not_sent, now_s)

    def _add_to_batch(
        self, command: Command, request_id: int, now_s: float
    ) -> None:
        # Calls and ends of runs arrive in separate events; those that arrive
        # within a short time share one write and sync.
        if not self._batch:
            self._context.outputs.append(ScheduleProposals())
        payload = COMMANDS.encode(command)
        self._batch.append(CommandProposed(request_id, payload))

    def _send_heartbeat(self, stream_id: int) -> None:
        replica = self._replica_access.replica
        names = {one.name for one in replica.log.configuration.members}
        heartbeat = LeaderBeat(replica.leader, tuple(sorted(names)))
        self._context.outputs.append(SendToCaller(stream_id, heartbeat))

    def _send_not_leader(self, stream_id: int) -> None:
        not_leader = NotLeader(self._replica_access.replica.leader)
        self._context.outputs.append(SendToCaller(stream_id, not_leader))


def make_failed_event(
    order: DispatchOutput, outcome: OrderOutcome
) -> DispatchEvent | None:
    """Return the event for an order without an answer, if one is awaited."""
    if isinstance(order, PollWorker):
        return WorkerPolled(
            order.worker.name,
            order.fence,
            order.sent_s,
            outcome,
        )
    if isinstance(order, StartRun):
        return StartAnswered(
            order.worker.name,
            order.task,
            order.number,
            outcome,
        )
    if isinstance(order, OrderMaintenance):
        return MaintenanceAnswered(
            order.instance,
            order.wave,
            order.boot_ms,
            outcome,
        )
    if isinstance(order, RequestAdvice):
        return AdviceAnswered(order.step, is_answered=False)
    if isinstance(order, OrderMove):
        return MoveAnswered(
            order.instance,
            order.pool,
            outcome,
        )
    return None
