"""Execution of the leader's orders on simulated workers and instances."""

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
from sardinemast.model._workers import SimulatedRun, SimulatedWorker
from sardinemast.model._workload import ActualTask, Arrival

_NETWORK_DELAY_S = 0.001  # one way
_STOP_DELAY_MAX_S = 0.5
# On a failing worker, every run fails this long after its start.
_FAILURE_DELAY_S = 0.1
_MS = 1000

Reply = Callable[[DispatchEvent], None]


class OrderExecutor:
    """Execute orders, and hold the polls that wait for the end of a run."""

    def __init__(
        self,
        clock: VirtualClock,
        instances: Instances,
        state: JobsState,
        arrivals: dict[str, Arrival],
        rng: Random,
    ) -> None:
        self._clock = clock
        self._instances = instances
        self._state = state
        self._arrivals = arrivals
        self._rng = rng
        self._pending_polls: dict[str, Callable[[], None]] = {}

    def send(self, order: DispatchOutput, answer: Reply) -> None:
        """Execute an order, with a network delay before and after it."""

        def reply(event: DispatchEvent) -> None:
            self._clock.call_later(_NETWORK_DELAY_S, lambda: answer(event))

        def deliver() -> None:
            if isinstance(order, PollWorker):
                self._poll(order, reply)
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
                reply(_make_maintenance_answer(order, is_done=is_done))
            elif isinstance(order, ListInstances):
                reply(self._instances.list_instances(order.asked_s))

        self._clock.call_later(_NETWORK_DELAY_S, deliver)

    def _poll(self, order: PollWorker, reply: Reply) -> None:
        name = order.worker.name
        is_finished = False

        def finish(report: WorkerReport | None) -> None:
            nonlocal is_finished
            if not is_finished:
                is_finished = True
                reply(_make_poll_event(order, report))

        def send_report() -> None:
            worker = self._find_reachable(name)
            if worker is not None:
                finish(worker.poll(order, self._clock.now_s))

        self._clock.call_later(order.timeout_s, lambda: finish(None))
        worker = self._find_reachable(name)
        if worker is None:
            return
        worker.discard_ends(order.acked_position)
        if worker.ends or not order.wait_ms:
            send_report()
        else:
            self._pending_polls[name] = send_report
            self._clock.call_later(order.wait_ms / _MS, send_report)

    def _start(self, order: StartRun, reply: Reply) -> None:
        worker = self._find_reachable(order.worker.name)
        step = self._state.find_step(order.task)
        if worker is None or step is None:
            # As the leader's client, which gives up after its time-out.
            self._clock.call_later(
                order.timeout_s,
                lambda: reply(_make_unanswered_start(order)),
            )
            return
        actual = self._get_actual_task(worker, order, step.spec)
        now_s = self._clock.now_s
        millicores = step.spec.reserved_size.millicores
        answer = worker.start(order, millicores, actual.run_duration_s, now_s)
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
        if run is not None and run.ends_at_s < float('inf'):
            result = 'failed' if actual.fails else 'done'
            self._clock.call_at(
                run.ends_at_s,
                lambda: self._end_run(worker, order, run, result),
            )

    def _get_actual_task(
        self,
        worker: SimulatedWorker,
        order: StartRun,
        step: Step,
    ) -> ActualTask:
        if worker.is_failing:
            return ActualTask(_FAILURE_DELAY_S, fails=True)
        if step.is_long_running:
            return ActualTask(float('inf'))
        tasks = self._arrivals[order.task.job].tasks
        actual = tasks[order.task.step][order.task.position]
        # A task that fails does so in its first run only.
        return actual._replace(fails=actual.fails and order.number == 1)

    def _stop(self, order: StopRun) -> None:
        worker = self._find_reachable(order.worker.name)
        run = worker.running.get(order.task) if worker else None
        if worker is None or run is None or run.number != order.number:
            return
        delay_s = self._rng.uniform(0, _STOP_DELAY_MAX_S)
        self._clock.call_later(
            delay_s,
            lambda: self._end_run(worker, order, run, 'stopped'),
        )

    def _end_run(
        self,
        worker: SimulatedWorker,
        order: StartRun | StopRun,
        run: SimulatedRun,
        result: str,
    ) -> None:
        if worker.running.get(order.task) is not run:
            return
        if result == 'stopped':
            self._instances.record_lost_work(run)
        worker.end_run(order.task, result)
        send_report = self._pending_polls.pop(worker.registration.name, None)
        if send_report is not None:
            send_report()

    def _find_reachable(self, name: str) -> SimulatedWorker | None:
        worker = self._instances.workers.get(name)
        return None if worker is None or worker.is_unreachable else worker


def _make_poll_event(
    order: PollWorker,
    report: WorkerReport | None,
) -> WorkerPolled:
    outcome = OrderOutcome.unknown if report is None else OrderOutcome.done
    name = order.worker.name
    return WorkerPolled(name, order.fence, order.sent_s, outcome, report)


def _make_unanswered_start(order: StartRun) -> StartAnswered:
    name, outcome = order.worker.name, OrderOutcome.unknown
    return StartAnswered(name, order.task, order.number, outcome)


def _get_outcome(*, is_done: bool) -> OrderOutcome:
    return OrderOutcome.done if is_done else OrderOutcome.refused


def _make_maintenance_answer(
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
