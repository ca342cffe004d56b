"""Carry the leader's orders out at the model's workers and instances."""

from collections.abc import Callable
from random import Random

from sardinemast.dispatch import (
    DispatchEvent,
    DispatchOutput,
    ListInstances,
    MaintenanceAnswered,
    MoveAnswered,
    OrderMaintenance,
    OrderMove,
    OrderOutcome,
    PollWorker,
    StartAnswered,
    StartRun,
    StopRun,
    WorkerPolled,
    WorkerReport,
)
from sardinemast.jobs import JobsState, Step
from sardinemast.model._clock import VirtualClock
from sardinemast.model._instances import Instances
from sardinemast.model._patterns import Arrival, TrueTask
from sardinemast.model._workers import ModelRun, ModelWorker

# One way between processes and workers of one region.
_WAY_S = 0.001
# A stop takes up to this long.
_STOP_S = 0.5
# A worker that fails all that it starts does so after this.
_FAILING_S = 0.1
_MS = 1000

Answer = Callable[[DispatchEvent], None]


class Orders:
    """Hold the looks that wait for an end, and carry orders out."""

    def __init__(
        self,
        clock: VirtualClock,
        instances: Instances,
        state: JobsState,
        truths: dict[str, Arrival],
        rng: Random,
    ) -> None:
        self._clock = clock
        self._instances = instances
        self._state = state
        self._truths = truths
        self._rng = rng
        self._looks: dict[str, Callable[[], None]] = {}

    def send(self, order: DispatchOutput, answer: Answer) -> None:
        """Have an order arrive after its way, and its answer come back."""

        def reply(event: DispatchEvent) -> None:
            self._clock.call_later(_WAY_S, lambda: answer(event))

        def arrive() -> None:
            if isinstance(order, PollWorker):
                self._look(order, reply)
            elif isinstance(order, StartRun):
                self._start(order, reply)
            elif isinstance(order, StopRun):
                self._stop(order)
            elif isinstance(order, OrderMove):
                is_done = self._instances.move(order.instance, order.pool)
                outcome = _get_outcome(is_done=is_done)
                reply(MoveAnswered(order.instance, order.pool, outcome))
            elif isinstance(order, OrderMaintenance):
                is_done = self._instances.maintain(order.instance)
                reply(_make_upkeep_answer(order, is_done=is_done))
            elif isinstance(order, ListInstances):
                reply(self._instances.list_all(order.asked_s))

        self._clock.call_later(_WAY_S, arrive)

    def _look(self, order: PollWorker, reply: Answer) -> None:
        name = order.worker.name
        is_over = False

        def end(answer: WorkerReport | None) -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                reply(_make_looked(order, answer))

        def tell() -> None:
            model = self._find(name)
            if model is not None:
                end(model.look(order, self._clock.now_s))

        self._clock.call_later(order.timeout_s, lambda: end(None))
        model = self._find(name)
        if model is None:
            return
        model.forget_ends(order.acked_position)
        if model.ends or not order.wait_ms:
            tell()
        else:
            self._looks[name] = tell
            self._clock.call_later(order.wait_ms / _MS, tell)

    def _start(self, order: StartRun, reply: Answer) -> None:
        model = self._find(order.worker.name)
        step = self._state.find_step(order.task)
        if model is None or step is None:
            return
        truth = self._get_truth(model, order, step.spec)
        now_s = self._clock.now_s
        room = step.spec.reserved_size.millicores
        answer = model.start(order, room, truth.run_s, now_s)
        reply(
            StartAnswered(
                order.worker.name,
                order.task,
                order.number,
                answer.outcome,
                answer.reason,
            ),
        )
        run = answer.run
        if run is not None and run.ends_s < float('inf'):
            result = 'failed' if truth.fails else 'done'
            self._clock.call_at(
                run.ends_s,
                lambda: self._end(model, order, run, result),
            )

    def _get_truth(
        self,
        model: ModelWorker,
        order: StartRun,
        step: Step,
    ) -> TrueTask:
        if model.is_failing:
            return TrueTask(_FAILING_S, fails=True)
        if step.is_long_running:
            return TrueTask(float('inf'))
        tasks = self._truths[order.task.job].tasks
        truth = tasks[order.task.step][order.task.position]
        # A task fails by chance, not for good.
        return truth._replace(fails=truth.fails and order.number == 1)

    def _stop(self, order: StopRun) -> None:
        model = self._find(order.worker.name)
        run = model.running.get(order.task) if model else None
        if model is None or run is None or run.number != order.number:
            return
        delay_s = self._rng.uniform(0, _STOP_S)
        self._clock.call_later(
            delay_s,
            lambda: self._end(model, order, run, 'stopped'),
        )

    def _end(
        self,
        model: ModelWorker,
        order: StartRun | StopRun,
        run: ModelRun,
        result: str,
    ) -> None:
        if model.running.get(order.task) is not run:
            return
        if result == 'stopped':
            self._instances.note_lost(run)
        model.end(order.task, result)
        tell = self._looks.pop(model.worker.name, None)
        if tell is not None:
            tell()

    def _find(self, name: str) -> ModelWorker | None:
        model = self._instances.workers.get(name)
        return None if model is None or model.is_dark else model


def _make_looked(
    order: PollWorker,
    answer: WorkerReport | None,
) -> WorkerPolled:
    outcome = OrderOutcome.unknown if answer is None else OrderOutcome.done
    name = order.worker.name
    return WorkerPolled(name, order.fence, order.sent_s, outcome, answer)


def _get_outcome(*, is_done: bool) -> OrderOutcome:
    return OrderOutcome.done if is_done else OrderOutcome.refused


def _make_upkeep_answer(
    order: OrderMaintenance,
    *,
    is_done: bool,
) -> MaintenanceAnswered:
    return MaintenanceAnswered(
        order.instance,
        order.wave,
        order.boot_ms,
        _get_outcome(is_done=is_done),
    )
