"""Since when long-running tasks wait for a worker."""

from sardinemast.jobs import JobsState, TaskKey


class LongRunningWaits:
    """Track the long-running tasks that wait and, by task, since when."""

    def __init__(self) -> None:
        self.since_s: dict[TaskKey, float] = {}

    def start_term(self) -> None:
        """Discard the tasks of the previous term."""
        self.since_s = {}

    def update(self, jobs: JobsState, now_s: float) -> None:
        """Add the tasks that wait now, and drop those that no longer do."""
        self.since_s = {
            task: self.since_s.get(task, now_s)
            for step in jobs.ready.values()
            if step.waiting and step.spec.is_long_running
            for task in map(step.get_task, step.waiting)
        }

    def record_start(self, task: TaskKey) -> None:
        """Let a task that starts wait anew if its start fails."""
        self.since_s.pop(task, None)

    def list_waiting(self, now_s: float, min_s: float) -> list[TaskKey]:
        """Return the tasks that have waited for at least a time."""
        return [
            task
            for task, since_s in self.since_s.items()
            if now_s >= since_s + min_s
        ]
