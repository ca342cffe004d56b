"""Simulated workers, their runs and their answers to the leader's orders."""

from typing import NamedTuple

from sardinemast.dispatch import (
    OrderOutcome,
    PollWorker,
    ReportedEnd,
    ReportedRun,
    StartRun,
    WorkerReport,
)
from sardinemast.jobs import TaskKey, Worker

_MS = 1000
_COMPLETE_PERCENT = 100
# A long-running task is ready to serve this long after its start.
_STARTUP_S = 0.4


class SimulatedRun:
    """Hold a run, its start, and its end unless it is stopped before."""

    def __init__(
        self,
        number: int,
        millicores: int,
        started_at_s: float,
        ends_at_s: float,
    ) -> None:
        self.number = number
        self.millicores = millicores
        self.started_at_s = started_at_s
        self.ends_at_s = ends_at_s

    def get_progress_percent(self, now_s: float) -> int:
        """Return the progress; of a long-running task 0 until it is ready."""
        elapsed_s = now_s - self.started_at_s
        if self.ends_at_s == float('inf'):
            return _COMPLETE_PERCENT if elapsed_s >= _STARTUP_S else 0
        duration_s = max(self.ends_at_s - self.started_at_s, elapsed_s, 1 / _MS)
        return int(_COMPLETE_PERCENT * elapsed_s / duration_s)


class StartResult(NamedTuple):
    """Hold the answer to a start order, and the run if it was started."""

    outcome: OrderOutcome
    reason: str = ''
    run: SimulatedRun | None = None


class SimulatedWorker:
    """Simulate one boot of a worker.

    New runs take ``slowness`` times as long, or fail shortly after their start
    if ``is_failing``.
    """

    def __init__(self, registration: Worker, started_at_s: float) -> None:
        self.registration = registration
        self.is_unreachable = False
        self.is_failing = False
        self.slowness: float = 1
        self.running: dict[TaskKey, SimulatedRun] = {}
        self.ends: list[ReportedEnd] = []
        self._started_at_s = started_at_s
        self._fence = 0
        self._position = 0

    def mark_reachable(self) -> None:
        """Make the worker answer orders again."""
        self.is_unreachable = False

    def discard_ends(self, acked_position: int) -> None:
        """Discard the ends that the leader has recorded."""
        self.ends = [one for one in self.ends if one.position > acked_position]

    def poll(self, order: PollWorker, now_s: float) -> WorkerReport:
        """Return the worker's runs and the ends not yet acknowledged."""
        self._fence = max(self._fence, order.fence)
        reported = tuple(
            ReportedRun(task, run.number, '', run.get_progress_percent(now_s))
            for task, run in self.running.items()
        )
        return WorkerReport(
            self.registration.boot_ms,
            max(int((now_s - self._started_at_s) * _MS), 1),
            reported,
            tuple(self.ends),
        )

    def start(
        self,
        order: StartRun,
        millicores: int,
        duration_s: float,
        now_s: float,
    ) -> StartResult:
        """Start a run unless its fence is outdated or cores are lacking."""
        if order.fence < self._fence:
            return StartResult(OrderOutcome.refused, 'fence')
        used = sum(run.millicores for run in self.running.values())
        if used + millicores > self.registration.capacity.millicores:
            return StartResult(OrderOutcome.refused, 'room')
        ends_at_s = now_s + duration_s * self.slowness
        run = SimulatedRun(order.number, millicores, now_s, ends_at_s)
        self.running[order.task] = run
        return StartResult(OrderOutcome.done, '', run)

    def end_run(self, task: TaskKey, result: str) -> None:
        """End a run and record its result for the next report."""
        run = self.running.pop(task)
        self._position += 1
        self.ends.append(ReportedEnd(self._position, task, run.number, result))
