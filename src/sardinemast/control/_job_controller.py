"""The leader's work with jobs: calls on one side, workers on the other."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import NamedTuple

from sardinemast.consensus import (
    BatchProposed,
    CommandProposed,
    Event,
    Replica,
)
from sardinemast.control._call_handler import Caller, CallHandler
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
from sardinemast.control._wall_clock import WallClock
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
    WorkerPolled,
)
from sardinemast.fleet import COMMANDS, Command
from sardinemast.jobs import Command as JobCommand
from sardinemast.protocol import LeaderBeat, NotLeader

# Streams take a leader that misses three beats for lost.
_BEAT_S = 0.2


class ReplicaAccess(NamedTuple):
    """Reach the replica of this process, and whether it may act."""

    replica: Replica
    is_leader: Callable[[float], bool]
    step_replica: Callable[[Event, float], None]


class JobController:
    """Serve callers' streams, and carry out what the dispatcher decides."""

    def __init__(
        self,
        context: ControlContext,
        settings: DispatchSettings,
        leading: ReplicaAccess,
    ) -> None:
        self._context = context._replace(propose=self._gather)
        self._leading = leading
        self._clock = WallClock()
        self._dispatcher = Dispatcher(settings)
        self._calls = CallHandler(
            self._context,
            self._dispatcher.record_announcement,
            self._dispatcher.record_leaving,
        )
        self._streams: dict[int, None] = {}
        self._gathered: list[CommandProposed] = []
        self._beat_due_s: float = 0
        self._has_ticked = False
        self._is_leading = False
        # Each look-up of a dispatching method makes a new function.
        self._handle_event = self._handle

    def start_term(self, now_s: float) -> None:
        """Lead from now on; all entries of former terms are applied."""
        self._is_leading = True
        state = self._context.state.subsystems.jobs
        term = self._leading.replica.term
        self._dispatcher.start_term(state, term, now_s)
        self._calls.start_term()

    def end_term(self) -> None:
        """Send all callers to the next leader."""
        self._is_leading = False
        self._gathered.clear()
        self._calls.end_term()
        for stream_id in self._streams:
            self._send_elsewhere(stream_id)

    def tick(self, now_s: float, wall_ms: int) -> None:
        """Follow the clocks, and do what is due while leading."""
        if wall_ms:
            self._clock.note(now_s, wall_ms)
        if not self._has_ticked:
            self._has_ticked = True
            self.note_restored(now_s)
        if not self._leading.is_leader(now_s):
            return
        if now_s >= self._beat_due_s:
            self._beat_due_s = now_s + _BEAT_S
            for stream_id in self._streams:
                self._beat(stream_id)
        outputs = self._dispatcher.tick(now_s, self._clock.get_ms(now_s))
        self._emit(outputs, now_s)

    def handle(self, event: JobEvent, now_s: float) -> None:
        """Take what comes of callers and workers."""
        self._handle_event(event, now_s)

    def note_restored(self, now_s: float) -> None:
        """Note that the state came as a whole, from a snapshot."""
        self._dispatcher.reset_order_times(now_s)

    def note_applied(self, command: Command, now_s: float) -> None:
        """Go on after a command was applied, where this process leads."""
        if not isinstance(command, JobCommand):
            return
        self._dispatcher.record_order_time(command, now_s)
        if not self._is_leading:
            return
        self._calls.note_applied(command)
        now_ms = self._clock.get_ms(now_s)
        outputs = self._dispatcher.handle_applied(command, now_s, now_ms)
        self._emit(outputs, now_s)

    @singledispatchmethod
    def _handle(self, event: JobEvent, now_s: float) -> None:
        raise TypeError(event)

    @_handle.register
    def _handle_due(self, event: ProposalsDue, now_s: float) -> None:
        proposals = BatchProposed(tuple(self._gathered))
        self._gathered.clear()
        if proposals.proposals:
            self._leading.step_replica(proposals, now_s)

    @_handle.register
    def _handle_connected(self, event: CallerConnected, now_s: float) -> None:
        self._streams[event.stream_id] = None
        if self._leading.is_leader(now_s):
            self._beat(event.stream_id)
        else:
            self._send_elsewhere(event.stream_id)

    @_handle.register
    def _handle_disconnected(
        self,
        event: CallerDisconnected,
        now_s: float,
    ) -> None:
        self._streams.pop(event.stream_id, None)

    @_handle.register
    def _handle_call(self, event: CallReceived, now_s: float) -> None:
        if not self._leading.is_leader(now_s):
            self._send_elsewhere(event.stream_id)
            return
        caller = Caller(event.stream_id, event.call_id)
        now_ms = self._clock.get_ms(now_s)
        self._calls.take(caller, event.call, now_s, now_ms)

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

    def _emit(self, outputs: list[DispatchOutput], now_s: float) -> None:
        if not outputs:
            return
        until_s = self._leading.replica.get_lease_until_s(now_s)
        may_order = self._leading.is_leader(now_s)
        for output in outputs:
            if isinstance(output, Propose):
                self._gather(output.command, INTERNAL_REQUEST, now_s)
            elif isinstance(output, LogDecision):
                self._context.outputs.append(output)
            elif may_order:
                self._context.outputs.append(SendOrder(output, until_s))
            else:
                self._note_unsent(output, now_s)

    def _note_unsent(self, order: DispatchOutput, now_s: float) -> None:
        # Without a lease another process may lead already. What it decided
        # must not be crossed by an order that was due here before.
        unsent = make_not_sent_event(order)
        if unsent is not None:
            self._handle(unsent, now_s)

    def _gather(self, command: Command, request_id: int, now_s: float) -> None:
        # Calls and ends of runs come one by one, each in an event of its own.
        # What comes within a moment is written and synced together.
        if not self._gathered:
            self._context.outputs.append(ScheduleProposals())
        payload = COMMANDS.encode(command)
        self._gathered.append(CommandProposed(request_id, payload))

    def _beat(self, stream_id: int) -> None:
        replica = self._leading.replica
        names = {one.name for one in replica.log.configuration.members}
        beat = LeaderBeat(replica.leader, tuple(sorted(names)))
        self._context.outputs.append(SendToCaller(stream_id, beat))

    def _send_elsewhere(self, stream_id: int) -> None:
        elsewhere = NotLeader(self._leading.replica.leader)
        self._context.outputs.append(SendToCaller(stream_id, elsewhere))


def make_not_sent_event(order: DispatchOutput) -> DispatchEvent | None:
    """Give the event that an order was not sent, where one is awaited."""
    if isinstance(order, PollWorker):
        return WorkerPolled(
            order.worker.name,
            order.fence,
            order.sent_s,
            OrderOutcome.not_sent,
        )
    if isinstance(order, StartRun):
        return StartAnswered(
            order.worker.name,
            order.task,
            order.number,
            OrderOutcome.not_sent,
        )
    if isinstance(order, OrderMaintenance):
        return MaintenanceAnswered(
            order.instance,
            order.wave,
            order.boot_ms,
            OrderOutcome.not_sent,
        )
    if isinstance(order, RequestAdvice):
        return AdviceAnswered(order.step, is_answered=False)
    if isinstance(order, OrderMove):
        return MoveAnswered(
            order.instance,
            order.pool,
            OrderOutcome.not_sent,
        )
    return None
