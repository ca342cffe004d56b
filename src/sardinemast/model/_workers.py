"""Model workers: what they run, when it ends, and what they answer."""

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
_WHOLE_PERCENT = 100
# A serving task is at work so long after its start.
_STARTUP_S = 0.4


class ModelRun:
    """Hold one run: when it began, and when it ends unless it is stopped."""

    def __init__(
        self,
        number: int,
        millicores: int,
        begun_s: float,
        ends_s: float,
    ) -> None:
        self.number = number
        self.millicores = millicores
        self.begun_s = begun_s
        self.ends_s = ends_s

    def get_percent(self, now_s: float) -> int:
        """Give how far the run is, or whether a lasting one is at work."""
        since_s = now_s - self.begun_s
        if self.ends_s == float('inf'):
            return _WHOLE_PERCENT if since_s >= _STARTUP_S else 0
        length_s = max(self.ends_s - self.begun_s, since_s, 1 / _MS)
        return int(_WHOLE_PERCENT * since_s / length_s)


class StartAnswer(NamedTuple):
    """Hold the answer to a start, and the run where one has begun."""

    outcome: OrderOutcome
    reason: str = ''
    run: ModelRun | None = None


class ModelWorker:
    """Hold one life of a worker.

    ``slowness`` stretches what is started; with ``is_failing`` all that is
    started fails at once. A dark one answers nothing.
    """

    def __init__(self, worker: Worker, born_s: float) -> None:
        self.worker = worker
        self.is_dark = False
        self.is_failing = False
        self.slowness: float = 1
        self.running: dict[TaskKey, ModelRun] = {}
        self.ends: list[ReportedEnd] = []
        self._born_s = born_s
        self._fence = 0
        self._position = 0

    def note_back(self) -> None:
        """Note that the worker can be reached again."""
        self.is_dark = False

    def forget_ends(self, seen: int) -> None:
        """Forget the ends up to one that the leader has recorded."""
        self.ends = [one for one in self.ends if one.position > seen]

    def look(self, order: PollWorker, now_s: float) -> WorkerReport:
        """Answer a look."""
        self._fence = max(self._fence, order.fence)
        listed = tuple(
            ReportedRun(task, run.number, '', run.get_percent(now_s))
            for task, run in self.running.items()
        )
        return WorkerReport(
            self.worker.boot_ms,
            max(int((now_s - self._born_s) * _MS), 1),
            listed,
            tuple(self.ends),
        )

    def start(
        self,
        order: StartRun,
        millicores: int,
        length_s: float,
        now_s: float,
    ) -> StartAnswer:
        """Begin a run where there is room for it."""
        if order.fence < self._fence:
            return StartAnswer(OrderOutcome.refused, 'fence')
        used = sum(run.millicores for run in self.running.values())
        if used + millicores > self.worker.capacity.millicores:
            return StartAnswer(OrderOutcome.refused, 'room')
        ends_s = now_s + length_s * self.slowness
        run = ModelRun(order.number, millicores, now_s, ends_s)
        self.running[order.task] = run
        return StartAnswer(OrderOutcome.done, '', run)

    def end(self, task: TaskKey, result: str) -> None:
        """End a run and list its end."""
        run = self.running.pop(task)
        self._position += 1
        self.ends.append(ReportedEnd(self._position, task, run.number, result))
