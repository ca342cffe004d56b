"""Starts that workers have not answered yet."""

from sardinemast.jobs import TaskKey


class StartsInFlight:
    """Hold the worker and the time of each start without an answer.

    Entries are in the order in which the starts were sent.
    """

    def __init__(self) -> None:
        self._sent: dict[tuple[TaskKey, int], tuple[str, float]] = {}

    def clear(self) -> None:
        """Discard all starts."""
        self._sent.clear()

    def record_sent(
        self,
        task: TaskKey,
        number: int,
        worker: str,
        now_s: float,
    ) -> None:
        """Record that a start was sent."""
        self._sent[(task, number)] = (worker, now_s)

    def record_answered(self, task: TaskKey, number: int) -> None:
        """Record that a start was answered or has timed out."""
        self._sent.pop((task, number), None)

    def take_overdue(self, before_s: float) -> set[str]:
        """Return the workers of starts sent before a time; discard these."""
        workers = set()
        for key, (worker, sent_s) in tuple(self._sent.items()):
            if sent_s > before_s:
                break
            self._sent.pop(key)
            workers.add(worker)
        return workers
