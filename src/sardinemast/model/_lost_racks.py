"""Record what becomes of the tasks of a rack that loses power."""

from collections.abc import Iterable

from sardinemast.dispatch import StartRun
from sardinemast.jobs import TaskKey


class LostRacks:
    """Count starts sent to lost workers, and time the restart of their tasks.

    ``recovery_s`` is the time from the loss until the last task that was
    assigned to a lost worker was sent to another one.
    """

    def __init__(self) -> None:
        self.start_count = 0
        self.recovery_s: float = 0
        self._workers: set[str] = set()
        self._lost_tasks: set[TaskKey] = set()
        self._lost_at_s: float = 0

    def record_loss(
        self,
        workers: Iterable[str],
        tasks: Iterable[TaskKey],
        now_s: float,
    ) -> None:
        """Record the workers of a rack that lost power and their tasks."""
        self._workers.update(workers)
        self._lost_tasks.update(tasks)
        self._lost_at_s = now_s

    def record_start(self, order: StartRun, now_s: float) -> None:
        """Record a start that the leader sent to any worker."""
        if order.worker.name in self._workers:
            self.start_count += 1
            self._lost_tasks.add(order.task)
        elif order.task in self._lost_tasks:
            self._lost_tasks.remove(order.task)
            self.recovery_s = now_s - self._lost_at_s
