"""Simulated workers and a dispatcher whose log a test can hold back."""

from collections import deque
from typing import Any, NamedTuple

from builders.model_workers import (
    ModelInstances,
    ModelPolicy,
    ModelWorker,
    ReceivedOrder,
)
from sardinemast.dispatch import (
    AdmissionPolicy,
    Dispatcher,
    DispatchEvent,
    DispatchOutput,
    DispatchSettings,
    FailureDomainPolicy,
    InstancesListed,
    ListedInstance,
    ListInstances,
    LogDecision,
    MaintenanceAnswered,
    MoveAnswered,
    OrderMaintenance,
    OrderMove,
    OrderOutcome,
    PollWorker,
    PoolPolicy,
    Propose,
    RequestAdvice,
    StartAnswered,
    StartRun,
    WorkerPolled,
    WorkerReport,
)
from sardinemast.jobs import (
    Advice,
    Catalog,
    Command,
    JobRequest,
    JobsState,
    Pool,
    Queue,
    Size,
    Step,
    TaskKey,
    Team,
    Worker,
    apply_command,
)
from sardinemast.jobs.commands import PutCatalog, RegisterWorker, SubmitJob

POOL = 'booking'
STANDBY = 'standby'
DATA_CENTRE = 'rennes'
OTHER_DATA_CENTRE = 'brest'
# Response time of the external policy service.
ADVICE_S = 0.3
QUEUE = 'seats'
TEAM = 'breizh'
KEY = 'key-of-breizh'
CORE = 1000
MIB = 1024 * 1024
# How long maintenance takes an instance out of service.
MAINTENANCE_S = 2.0
# An order reaches a later boot at most this late. One to the same boot may be
# later, since the end of its lease is a time on that boot's clock.
LONGEST_DELAY_S = 4.0
_MS = 1000
# The first workers have been up for so long when the first leader is elected.
_STARTED_AT_S = 100
# Keeps all workers in the pool until a peak of its load is known.
SETTINGS = DispatchSettings(
    pools=PoolPolicy(opening_share=1), admission=AdmissionPolicy(enabled=True)
)
SETTINGS_WITH_RACKS = SETTINGS._replace(
    failure_domains=FailureDomainPolicy(enabled=True),
)


def make_catalog(
    version: int = 1,
    *,
    cap: int = 0,
    advice: Advice | None = None,
) -> Catalog:
    """Return a catalog of a queue, a pool, a standby pool and a team."""
    return Catalog(
        version,
        (
            Queue(
                QUEUE,
                'host',
                '/seats/',
                POOL,
                timeout_ms=3000,
                target_ms=600,
                max_attempts=2,
                stretch=2,
                advice=advice,
            ),
        ),
        (Pool(POOL), Pool(STANDBY, is_standby=True)),
        (Team(TEAM, (KEY,), cap=Size(cap, 0)),),
    )


def make_worker(
    number: int,
    *,
    boot_ms: int = 1,
    cores: int = 4,
    is_draining: bool = False,
    data_centre: str = DATA_CENTRE,
    rack: str = '',
) -> Worker:
    """Return a worker with its own address and instance."""
    rack = rack or f'r-{number % 2}'
    return Worker(
        f'w-{number}',
        boot_ms,
        f'10.0.0.{number}:80',
        POOL,
        data_centre,
        rack,
        ('a', rack),
        Size(cores * CORE, 8192 * MIB),
        f'm-{number}',
        is_draining,
    )


def make_step(task_count: int = 1, **changes: Any) -> Step:
    """Return a step whose tasks reserve one core each."""
    step = Step(task_count, Size(CORE, MIB), estimate_ms=500)
    return step._replace(**changes)


class PendingOutput(NamedTuple):
    """An output of the dispatcher and the time of its response."""

    order: Any
    due_s: float
    sent_s: float
    model: ModelWorker | None = None


class UndeliveredOrder(NamedTuple):
    """An order under way, the boot that it was sent to, and when."""

    model: ModelWorker
    order: Any
    sent_s: float


class ModelFleet:
    """Simulate a leader's dispatcher, its log and its workers.

    An order is executed by the boot that has the name of its worker when it
    arrives, which may be later than the one that it was sent to. Orders to an
    unreachable worker are kept in ``undelivered_orders``, so that a test can
    deliver them later; so are the next ``starts_to_lose`` starts, and orders
    that had not arrived when their leader was lost. While ``is_held``,
    proposals are not committed. Workers that are added list at most
    ``ends_per_report`` ends, and announce what their clocks show if
    ``announces_clocks``.
    """

    def __init__(
        self,
        worker_count: int = 2,
        settings: DispatchSettings = SETTINGS,
        **worker: Any,
    ) -> None:
        self._settings = settings
        self.now_s: float = 0
        self._settings = settings
        self.term = 0
        self.log_length = 0
        self.state = JobsState()
        self.dispatcher = Dispatcher(self._settings)
        self.follower = Dispatcher(self._settings)
        self.follower.reset_order_times(self.now_s)
        self.workers: dict[str, ModelWorker] = {}
        self.ends_per_report: int | None = None
        self.announces_clocks = True
        self.is_held = False
        self.proposed: deque[Command] = deque()
        self.undelivered_orders: list[UndeliveredOrder] = []
        self.started: list[StartRun] = []
        self.started_evacuated: list[StartRun] = []
        self.starts_to_lose = 0
        self._lost_starts: list[StartRun] = []
        self.policy = ModelPolicy()
        self.instances = ModelInstances()
        self.logged: list[str] = []
        self.decisions: list[LogDecision] = []
        self._waiting: list[PendingOutput] = []
        self.commit(PutCatalog(make_catalog(), b'{}'))
        for number in range(worker_count):
            self.add_worker(make_worker(number, **worker))
        self.elect()

    @property
    def now_ms(self) -> int:
        """Return the wall-clock time."""
        return int((_STARTED_AT_S + self.now_s) * _MS)

    def add_worker(self, worker: Worker, rate: float = 1) -> ModelWorker:
        """Add a worker and register it."""
        model = self._put_model(worker, rate)
        self.commit(RegisterWorker(worker))
        return model

    def restart_silently(self, number: int, **changes: Any) -> ModelWorker:
        """Restart a worker under its name; it announces nothing yet."""
        old = self.workers[f'w-{number}'].worker
        boot_ms = max(old.boot_ms + 1, self.now_ms)
        worker = old._replace(boot_ms=boot_ms, is_draining=False, **changes)
        model = self._put_model(worker, self.workers[old.name].rate)
        model.is_silent = True
        return model

    def announce(self, model: ModelWorker) -> None:
        """Let a worker announce itself as it is now."""
        model.is_silent = False
        self.commit(RegisterWorker(model.worker))

    def drain_worker(self, number: int) -> None:
        """Register a worker as draining."""
        model = self.workers[f'w-{number}']
        model.worker = model.worker._replace(is_draining=True)
        self.commit(RegisterWorker(model.worker))

    def set_rack_unreachable(self, rack: str, *, is_unreachable: bool) -> None:
        """Disconnect all workers of a rack, or reconnect them."""
        for model in self.workers.values():
            if model.worker.rack == rack:
                model.is_unreachable = is_unreachable

    def replace_worker(self, instance: str, boot_ms: int) -> None:
        """Replace the worker of an instance by one with a new boot time."""
        for name, model in tuple(self.workers.items()):
            if model.worker.instance == instance:
                self.workers.pop(name)
                next_worker = model.worker._replace(
                    name=f'{instance}-{boot_ms}',
                    boot_ms=boot_ms,
                )
                self.add_worker(next_worker)

    def elect(self) -> None:
        """Start a new leader; uncommitted proposals are lost."""
        self.term += 1
        self.proposed.clear()
        for pending in self._waiting:
            if pending.order not in self._lost_starts:
                self._keep_undelivered(pending)
        self._waiting.clear()
        self.dispatcher = self.follower
        self.follower = Dispatcher(self._settings)
        self.follower.reset_order_times(self.now_s)
        self.dispatcher.start_term(self.state, self.term, self.now_s)

    def submit(
        self,
        name: str,
        *steps: Step,
        team: str = TEAM,
        queue: str = QUEUE,
    ) -> None:
        """Commit a job with these steps."""
        request = JobRequest('spec', steps)
        self.commit(SubmitJob(name, queue, team, request, self.now_ms))

    def commit(self, command: Command) -> None:
        """Apply a command and notify both dispatchers."""
        self.log_length += 1
        apply_command(command, self.state, self.log_length)
        self.dispatcher.record_order_time(command, self.now_s)
        self.follower.record_order_time(command, self.now_s)
        if self.term:
            self._execute(
                self.dispatcher.handle_applied(
                    command, self.now_s, self.now_ms
                ),
            )

    def commit_held(self) -> None:
        """Commit all held proposals."""
        while self.proposed:
            self.commit(self.proposed.popleft())

    def run(self, seconds: float, step_s: float = 0.05) -> None:
        """Advance the time; record announcements of reachable workers."""
        for _ in range(round(seconds / step_s)):
            self.now_s += step_s
            for model in tuple(self.workers.values()):
                model.advance_clock(self.now_s)
                is_cut = model.is_unreachable or model.loses_responses
                if not (is_cut or model.is_silent):
                    self._record_announcement(model)
            self._answer_due()
            self._execute(self.dispatcher.tick(self.now_s, self.now_ms))

    def execute_late(self, late: UndeliveredOrder) -> Any:
        """Let the boot that now has the worker's name execute an order.

        The order is executed once. Return the outcome and the body, which the
        leader does not get.
        """
        self.undelivered_orders.remove(late)
        model = self.workers[late.model.worker.name]
        return model.carry_out(late.order, self.now_s)

    def execute_any_late(self, index: int) -> None:
        """Execute an order under way, unless it is too late to arrive."""
        if not self.undelivered_orders:
            return
        late = self.undelivered_orders[index % len(self.undelivered_orders)]
        is_same_boot = late.model is self.workers[late.model.worker.name]
        if is_same_boot or self.now_s <= late.sent_s + LONGEST_DELAY_S:
            self.execute_late(late)
        else:
            self.undelivered_orders.remove(late)

    def drop_voided_starts(self, name: str) -> None:
        """Lose the starts under way that a worker refuses by their fence.

        No leader can avoid a second run if such a start stays under way until
        a later boot executes it: the worker answered a poll with a higher
        fence, so that the task was rightly started elsewhere. The fuzz tests
        do not draw that.
        """
        fence = self.workers[name].fence

        def is_voided(order: Any) -> bool:
            return (
                isinstance(order, StartRun)
                and order.worker.name == name
                and order.fence < fence
            )

        self._lost_starts.extend(
            one.order for one in self._waiting if is_voided(one.order)
        )
        self.undelivered_orders = [
            one for one in self.undelivered_orders if not is_voided(one.order)
        ]

    def deliver(self, event: DispatchEvent) -> None:
        """Deliver an answer to the leader, besides those of the workers."""
        outputs = self.dispatcher.step(event, self.now_s, self.now_ms)
        self._execute(outputs)

    def list_decisions(self, event: str) -> list[LogDecision]:
        """Return the log lines of an event."""
        return [one for one in self.decisions if one.event == event]

    def get_decision(self, event: str) -> LogDecision:
        """Return the only log line of an event."""
        decisions = self.list_decisions(event)
        assert len(decisions) == 1
        return decisions[0]

    def get_running_workers(self, task: TaskKey) -> list[str]:
        """Return the names of the workers that are running a task."""
        return [
            name
            for name, model in self.workers.items()
            if task in model.running
        ]

    def _record_announcement(self, model: ModelWorker) -> None:
        clock_ms = model.get_clock_ms(self.now_s)
        self.dispatcher.record_announcement(
            model.worker.name,
            clock_ms if self.announces_clocks else 0,
            self.now_s,
        )

    def _put_model(self, worker: Worker, rate: float = 1) -> ModelWorker:
        booted_s = self.now_s
        if worker.name not in self.workers:
            booted_s = min(booted_s, worker.boot_ms / _MS - _STARTED_AT_S)
        model = ModelWorker(worker, rate, booted_s)
        model.ends_per_report = self.ends_per_report
        self.workers[worker.name] = model
        return model

    def _execute(self, outputs: list[DispatchOutput]) -> None:
        for output in outputs:
            if isinstance(output, Propose):
                self.proposed.append(output.command)
            elif isinstance(output, LogDecision):
                self.logged.append(f'{output.event} {output.subject}')
                self.decisions.append(output)
            elif isinstance(output, OrderMaintenance):
                self.instances.maintenance_orders.append(output.instance)
                self._note_order(output)
                self._waiting.append(
                    PendingOutput(output, self.now_s, self.now_s)
                )
            elif isinstance(output, RequestAdvice):
                self.policy.questions.append(output)
                answer_s = self.now_s + ADVICE_S
                self._waiting.append(
                    PendingOutput(output, answer_s, self.now_s)
                )
            elif isinstance(output, OrderMove):
                self.instances.moves.append(output)
                self._note_order(output)
                self._waiting.append(
                    PendingOutput(output, self.now_s, self.now_s)
                )
            elif isinstance(output, ListInstances):
                self._waiting.append(
                    PendingOutput(output, self.now_s, self.now_s)
                )
            else:
                self._send(output)
        if not self.is_held:
            self.commit_held()

    def _note_order(self, order: OrderMove | OrderMaintenance) -> None:
        seen = ReceivedOrder(order.instance, order.token, self.now_s)
        self.instances.seen.append(seen)

    def _send(self, order: Any) -> None:
        if isinstance(order, StartRun):
            self.started.append(order)
            data_centre = order.worker.data_centre
            if self.state.data_centres.is_evacuated(data_centre):
                self.started_evacuated.append(order)
            if self.starts_to_lose:
                self.starts_to_lose -= 1
                self._lost_starts.append(order)
        due_s = self.now_s
        model = self.workers.get(order.worker.name)
        is_lost = order in self._lost_starts
        if is_lost or model is None or model.is_unreachable:
            due_s += order.timeout_s
        elif isinstance(order, PollWorker):
            due_s += order.wait_ms / _MS
        pending = PendingOutput(order, due_s, self.now_s, model)
        if is_lost:
            self._keep_undelivered(pending)
        self._waiting.append(pending)

    def _answer_due(self) -> None:
        waiting = self._waiting
        self._waiting = []
        for pending in waiting:
            if self._is_due(pending):
                self._answer(pending)
            else:
                self._waiting.append(pending)

    def _is_due(self, waiting: PendingOutput) -> bool:
        if isinstance(waiting.order, PollWorker):
            model = self.workers.get(waiting.order.worker.name)
            if model is not None and not model.is_unreachable and model.ends:
                return True
        return self.now_s >= waiting.due_s

    def _answer(self, pending: PendingOutput) -> None:
        event: DispatchEvent | None = None
        order = pending.order
        if isinstance(order, OrderMaintenance):
            is_refused = order.instance in self.instances.refused
            if not is_refused:
                back_s = self.now_s + MAINTENANCE_S
                self.instances.away_until_s[order.instance] = back_s
            event = MaintenanceAnswered(
                order.instance,
                order.wave,
                order.boot_ms,
                OrderOutcome.refused if is_refused else OrderOutcome.done,
            )
        elif (
            isinstance(order, ListInstances)
            and self.instances.lost_list_responses
        ):
            self.instances.lost_list_responses -= 1
        elif isinstance(order, ListInstances):
            event = InstancesListed(self._list_instances(), order.asked_s)
        elif isinstance(order, RequestAdvice):
            event = self.policy.answer(order)
        elif isinstance(order, OrderMove):
            done = OrderOutcome.done
            event = MoveAnswered(order.instance, order.pool, done)
        else:
            event = self._answer_worker(pending)
        if event is not None:
            self.deliver(event)

    def _list_instances(self) -> tuple[ListedInstance, ...]:
        at_work = [
            ListedInstance(
                name,
                POOL,
                is_up=name not in self.instances.down
                and not self._is_away(name),
                is_down=name in self.instances.down,
            )
            for name in self.state.home_pools
        ]
        off = [
            ListedInstance(
                name,
                STANDBY,
                is_up=not self._is_away(name),
                data_centre=self.instances.data_centres.get(name, DATA_CENTRE),
            )
            for name in sorted(self.instances.standby)
        ]
        return (*at_work, *off)

    def _is_away(self, instance: str) -> bool:
        back_s = self.instances.away_until_s.get(instance, 0)
        return self.now_s < back_s

    def _answer_worker(self, pending: PendingOutput) -> DispatchEvent | None:
        order = pending.order
        name = order.worker.name
        model = self.workers.get(name)
        if model is not None and model.loses_results:
            return None
        outcome, body = OrderOutcome.unknown, None
        is_lost = order in self._lost_starts
        if model is not None and not (is_lost or model.is_unreachable):
            outcome, body = model.carry_out(order, self.now_s)
            if model.loses_responses:
                outcome, body = OrderOutcome.unknown, None
        elif not is_lost:
            self._keep_undelivered(pending)
        if isinstance(order, PollWorker):
            answer = body if isinstance(body, WorkerReport) else None
            sent_s = order.sent_s
            return WorkerPolled(name, order.fence, sent_s, outcome, answer)
        if isinstance(order, StartRun):
            clock_ms = 0
            if model is not None and outcome is not OrderOutcome.unknown:
                clock_ms = model.get_clock_ms(self.now_s)
            return StartAnswered(
                name, order.task, order.number, outcome, body or '', clock_ms
            )
        return None

    def _keep_undelivered(self, pending: PendingOutput) -> None:
        if pending.model is not None:
            self.undelivered_orders.append(
                UndeliveredOrder(pending.model, pending.order, pending.sent_s)
            )
