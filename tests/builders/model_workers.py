"""Simulated worker, external policy service and instances."""

from typing import Any, NamedTuple

from sardinemast.dispatch import (
    AdviceAnswered,
    OrderMove,
    OrderOutcome,
    PollWorker,
    ReportedEnd,
    ReportedRun,
    RequestAdvice,
    StartRun,
    StopRun,
    ThrottleRun,
    Ticket,
    WorkerReport,
)
from sardinemast.jobs import TaskKey, Worker

# What the clock of a worker shows when it starts.
BOOT_CLOCK_MS = 1000
# A worker shortens longer leases to this, by its own clock.
LONGEST_LEASE_MS = 10_000
_MS = 1000


class ModelWorker:
    """Simulate one boot of a worker, whose clock runs at ``rate``.

    The clock begins anew at ``booted_s``. A lease lasts ``LONGEST_LEASE_MS`` at
    most, and never becomes shorter. With ``is_full`` starts are refused for
    want of room.

    With ``is_unreachable`` it receives no orders; with ``loses_responses`` it
    executes orders, but its responses are lost. With ``loses_results`` the
    dispatcher is not even told that an order timed out. With ``is_silent`` it
    answers orders but announces nothing. A report lists at most
    ``ends_per_report`` ends, and ``unread`` replaces fields of it.
    ``poll_count`` counts polls. ``acknowledged`` holds the tasks that are
    done and whose end was acknowledged under an unbroken lease.
    """

    def __init__(
        self, worker: Worker, rate: float = 1, booted_s: float = 0
    ) -> None:
        self.worker = worker
        self.rate = rate
        self.is_full = False
        self.is_unreachable = False
        self.loses_responses = False
        self.loses_results = False
        self.is_silent = False
        self.fence = 0
        self._expires_ms: float = 0
        self.running: dict[TaskKey, int] = {}
        self.highest_numbers: dict[TaskKey, int] = {}
        self.ends: list[ReportedEnd] = []
        self.ends_per_report: int | None = None
        self.unread: dict[str, Any] = {}
        self.poll_count = 0
        self.acknowledged: set[TaskKey] = set()
        self._ended_under_lease: dict[int, TaskKey] = {}
        self.speeds_percent: dict[TaskKey, int] = {}
        self.reported_gauges: dict[TaskKey, int] = {}
        self.percent = 100
        self.stop_delay_s: float = 0
        self.stopping: dict[TaskKey, float] = {}
        self._position = 0
        self._booted_s = booted_s

    def get_clock_ms(self, true_s: float) -> int:
        """Return the time on the worker's clock."""
        since_ms = (true_s - self._booted_s) * self.rate * _MS
        return int(BOOT_CLOCK_MS + since_ms)

    def advance_clock(self, true_s: float) -> None:
        """End stopped runs that are due, and all runs after the lease."""
        for stopped, due_s in tuple(self.stopping.items()):
            if true_s >= due_s:
                self.stopping.pop(stopped)
                if stopped in self.running:
                    self.end(stopped, 'stopped')
        if self.get_clock_ms(true_s) > self._expires_ms:
            for task in tuple(self.running):
                self.end(task, 'lapsed')
            self._ended_under_lease.clear()

    def end(self, task: TaskKey, result: str, checkpoint: str = '') -> None:
        """End a run and queue its end for the next report."""
        self._position += 1
        number = self.running.pop(task)
        self.ends.append(
            ReportedEnd(self._position, task, number, result, checkpoint),
        )
        if result == 'done':
            self._ended_under_lease[self._position] = task

    def carry_out(self, order: Any, true_s: float) -> Any:
        """Execute an order and return the outcome and a body."""
        self.advance_clock(true_s)
        if order.fence < self.fence:
            return OrderOutcome.refused, 'fence'
        self.fence = order.fence
        if isinstance(order, PollWorker):
            return OrderOutcome.done, self._poll(order, true_s)
        if isinstance(order, StartRun):
            return self._start(order, true_s)
        if isinstance(order, StopRun):
            self._stop(order, true_s)
        elif isinstance(order, ThrottleRun):
            self.speeds_percent[order.task] = order.percent
        return OrderOutcome.done, ''

    def _poll(self, order: PollWorker, true_s: float) -> WorkerReport:
        self._extend_lease(order.expires_ms or 0, true_s)
        self._forget_ends(order.acked_position)
        self.poll_count += 1
        report = WorkerReport(
            self.worker.boot_ms,
            self.get_clock_ms(true_s),
            tuple(
                ReportedRun(
                    task,
                    number,
                    '',
                    self.percent,
                    self.reported_gauges.get(task, 0),
                )
                for task, number in self.running.items()
            ),
            tuple(self.ends[: self.ends_per_report]),
        )
        return report._replace(**self.unread)

    def _extend_lease(self, expires_ms: int, true_s: float) -> None:
        longest_ms = self.get_clock_ms(true_s) + LONGEST_LEASE_MS
        self._expires_ms = max(self._expires_ms, min(expires_ms, longest_ms))

    def _forget_ends(self, acked_position: int) -> None:
        self.ends = [one for one in self.ends if one.position > acked_position]
        for position, task in tuple(self._ended_under_lease.items()):
            if position <= acked_position:
                self._ended_under_lease.pop(position)
                self.acknowledged.add(task)

    def _start(self, order: StartRun, true_s: float) -> Any:
        self._extend_lease(order.expires_ms, true_s)
        if self.running.get(order.task) == order.number:
            return OrderOutcome.done, ''
        if order.number <= self.highest_numbers.get(order.task, 0):
            return OrderOutcome.refused, 'old'
        if order.expires_ms < self.get_clock_ms(true_s):
            return OrderOutcome.refused, 'late'
        if self.is_full:
            return OrderOutcome.refused, 'room'
        self.highest_numbers[order.task] = order.number
        self.running[order.task] = order.number
        return OrderOutcome.done, ''

    def _stop(self, order: StopRun, true_s: float) -> None:
        self.highest_numbers[order.task] = max(
            order.number,
            self.highest_numbers.get(order.task, 0),
        )
        if self.running.get(order.task) == order.number:
            due_s = true_s + self.stop_delay_s
            self.stopping.setdefault(order.task, due_s)
            self.advance_clock(true_s)


class ModelPolicy:
    """Simulate the external policy service, which may be unavailable.

    Requests for steps of ``silent_jobs`` are never answered.
    """

    def __init__(self) -> None:
        self.allowed: set[str] = set()
        self.questions: list[RequestAdvice] = []
        self.is_silent = False
        self.silent_jobs: set[str] = set()

    def answer(self, asked: RequestAdvice) -> AdviceAnswered:
        """Return tickets for the allowed workers among those asked about."""
        tickets = tuple(
            Ticket(worker.name, f'{asked.step}@{worker.name}')
            for worker in asked.workers
            if worker.name in self.allowed
        )
        is_silent = self.is_silent or asked.step.job in self.silent_jobs
        return AdviceAnswered(asked.step, tickets, not is_silent)


class ReceivedOrder(NamedTuple):
    """An order for an instance, its fencing token and arrival time."""

    instance: str
    token: int
    at_s: float


class ModelInstances:
    """Record orders for instances and hold the condition of instances."""

    def __init__(self) -> None:
        self.seen: list[ReceivedOrder] = []
        self.maintenance_orders: list[str] = []
        self.moves: list[OrderMove] = []
        self.refused: set[str] = set()
        self.down: set[str] = set()
        self.standby: set[str] = set()
        self.data_centres: dict[str, str] = {}
        self.away_until_s: dict[str, float] = {}
        self.lost_list_responses = 0
