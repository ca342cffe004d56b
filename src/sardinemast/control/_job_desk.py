"""The leader's work with jobs: calls on one side, workers on the other."""

from typing import NamedTuple

from sardinemast import jobs
from sardinemast.control._call_desk import CallDesk, Caller
from sardinemast.control._context import INTERNAL_REQUEST, ControlContext
from sardinemast.control._events import (
    CallReceived,
    SendOrder,
    SendToCaller,
)
from sardinemast.control._wall_clock import WallClock
from sardinemast.dispatch import (
    Dispatcher,
    DispatchEvent,
    DispatchOutput,
    DispatchSettings,
    LogDecision,
    LookAtWorker,
    OrderOutcome,
    OrderUpkeep,
    Propose,
    RunAnswered,
    StartRun,
    UpkeepAnswered,
    WorkerLooked,
)
from sardinemast.protocol import LeaderBeat, NotLeader

_BEAT_S = 0.25


class Leadership(NamedTuple):
    """Say whether this process may act, until when, and who else controls."""

    is_leader: bool
    until_s: float
    leader: str
    controls: tuple[str, ...]


class JobDesk:
    """Serve callers' streams, and carry out what the dispatcher decides."""

    def __init__(
        self,
        context: ControlContext,
        settings: DispatchSettings,
    ) -> None:
        self._context = context
        self._clock = WallClock()
        self._dispatcher = Dispatcher(settings)
        self._calls = CallDesk(
            context,
            self._dispatcher.note_announced,
            self._dispatcher.note_leaving,
        )
        self._streams: dict[int, None] = {}
        self._beat_due_s: float = 0

    def note_time(self, now_s: float, wall_ms: int) -> None:
        """Take a reading of the time of day."""
        if wall_ms:
            self._clock.note(now_s, wall_ms)

    def start_term(self, term: int, now_s: float) -> None:
        """Lead from now on."""
        state = self._context.state.plans.jobs
        self._dispatcher.start_term(state, term, now_s)
        self._calls.start_term()

    def end_term(self, leader: str) -> None:
        """Send all callers to the next leader."""
        self._calls.end_term()
        for stream_id in self._streams:
            self._send_elsewhere(stream_id, leader)

    def connect(self, stream_id: int, leadership: Leadership) -> None:
        """Open a stream for calls."""
        self._streams[stream_id] = None
        if leadership.is_leader:
            self._beat(stream_id, leadership)
        else:
            self._send_elsewhere(stream_id, leadership.leader)

    def disconnect(self, stream_id: int) -> None:
        """Forget a stream that has ended."""
        self._streams.pop(stream_id, None)

    def take_call(
        self,
        received: CallReceived,
        leadership: Leadership,
        now_s: float,
    ) -> None:
        """Answer a call, or say who else can."""
        if not leadership.is_leader:
            self._send_elsewhere(received.stream_id, leadership.leader)
            return
        caller = Caller(received.stream_id, received.call_id)
        now_ms = self._clock.get_ms(now_s)
        self._calls.take(caller, received.call, now_s, now_ms)

    def tick(self, leadership: Leadership, now_s: float) -> None:
        """Do what time has made due, while leading."""
        if now_s >= self._beat_due_s:
            self._beat_due_s = now_s + _BEAT_S
            for stream_id in self._streams:
                self._beat(stream_id, leadership)
        outputs = self._dispatcher.tick(now_s, self._clock.get_ms(now_s))
        self._emit(outputs, leadership, now_s)

    def take_answer(
        self,
        event: DispatchEvent,
        leadership: Leadership,
        now_s: float,
    ) -> None:
        """Take a worker's answer to an order."""
        now_ms = self._clock.get_ms(now_s)
        outputs = self._dispatcher.step(event, now_s, now_ms)
        self._emit(outputs, leadership, now_s)

    def note_applied(
        self,
        command: jobs.Command,
        leadership: Leadership,
        now_s: float,
    ) -> None:
        """Go on after a command was applied in the own term."""
        self._calls.note_applied(command)
        now_ms = self._clock.get_ms(now_s)
        outputs = self._dispatcher.note_applied(command, now_s, now_ms)
        self._emit(outputs, leadership, now_s)

    def _emit(
        self,
        outputs: list[DispatchOutput],
        leadership: Leadership,
        now_s: float,
    ) -> None:
        for output in outputs:
            if isinstance(output, Propose):
                self._context.propose(output.command, INTERNAL_REQUEST, now_s)
            elif isinstance(output, LogDecision):
                self._context.outputs.append(output)
            elif leadership.is_leader:
                order = SendOrder(output, leadership.until_s)
                self._context.outputs.append(order)
            else:
                self._note_unsent(output, leadership, now_s)

    def _note_unsent(
        self,
        order: DispatchOutput,
        leadership: Leadership,
        now_s: float,
    ) -> None:
        # Without a lease another process may lead already. What it decided
        # must not be crossed by an order that was due here before.
        unsent = make_unsent(order)
        if unsent is not None:
            self.take_answer(unsent, leadership, now_s)

    def _beat(self, stream_id: int, leadership: Leadership) -> None:
        beat = LeaderBeat(leadership.leader, leadership.controls)
        self._context.outputs.append(SendToCaller(stream_id, beat))

    def _send_elsewhere(self, stream_id: int, leader: str) -> None:
        self._context.outputs.append(SendToCaller(stream_id, NotLeader(leader)))


def make_unsent(order: DispatchOutput) -> DispatchEvent | None:
    """Give the event that an order was not sent, where one is awaited."""
    if isinstance(order, LookAtWorker):
        return WorkerLooked(
            order.worker.name,
            order.fence,
            order.sent_s,
            OrderOutcome.not_sent,
        )
    if isinstance(order, StartRun):
        return RunAnswered(
            order.worker.name,
            order.task,
            order.number,
            OrderOutcome.not_sent,
        )
    if isinstance(order, OrderUpkeep):
        return UpkeepAnswered(
            order.instance,
            order.wave,
            order.boot_ms,
            OrderOutcome.not_sent,
        )
    return None
