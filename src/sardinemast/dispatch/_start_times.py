"""Track when starts were recorded in the log.

A start that was just recorded may not have reached its worker yet, or may have
reached a later boot of it. A new leader knows by this when it was sent.
"""

from sardinemast.jobs.commands import RecordRuns

# Beyond that, a start can no longer be executed, nor its lease last.
_KEPT_S = 60.0


class StartTimes:
    """Hold when the last start on each worker was applied here.

    Replicas apply an entry no earlier than the leader that sends the start,
    so these times err on the late side. A start extends the lease of all runs
    on its worker.
    """

    def __init__(self) -> None:
        # In the order of recording.
        self._started_s: dict[str, float] = {}
        self._unknown_until_s = float('-inf')

    def record(self, command: RecordRuns, now_s: float) -> None:
        """Record that starts were applied, and forget old ones."""
        for start in command.starts:
            self._started_s.pop(start.worker, None)
            self._started_s[start.worker] = now_s
        while self._started_s:
            oldest = next(iter(self._started_s))
            if self._started_s[oldest] > now_s - _KEPT_S:
                break
            self._started_s.pop(oldest)

    def mark_unknown_until(self, now_s: float) -> None:
        """Treat any run as possibly started until now.

        A snapshot does not show when its entries were applied.
        """
        self._unknown_until_s = now_s

    def get_start_s(self, worker: str) -> float:
        """Return the latest time at which a start may have been recorded."""
        started_s = self._started_s.get(worker, float('-inf'))
        return max(started_s, self._unknown_until_s)
