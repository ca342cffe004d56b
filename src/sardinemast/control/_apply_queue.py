"""Committed log entries that wait to be applied to the state."""

from collections import deque
from collections.abc import Callable

from sardinemast.consensus import LogEntry

# Some 10 ms of work, which keeps a step well below the election timeout. A
# restarted replica learns at once that its whole log is committed; applying
# thousands of entries in one step would delay heartbeats until the leader loses
# its term.
_MAX_APPLIED_PER_STEP = 64
_MAX_BYTES_PER_STEP = 524_288


class ApplyQueue:
    """Apply entries in log order, with a bound of a step's work."""

    def __init__(self, apply: Callable[[LogEntry, float], None]) -> None:
        self._apply = apply
        self._entries: deque[LogEntry] = deque()
        self._remaining = _MAX_APPLIED_PER_STEP
        self._remaining_bytes = _MAX_BYTES_PER_STEP
        self._is_step_scheduled = False

    @property
    def is_empty(self) -> bool:
        """Check whether all committed entries are applied."""
        return not self._entries

    def begin_step(self, now_s: float) -> None:
        """Apply entries that earlier steps left in the queue."""
        self._remaining = _MAX_APPLIED_PER_STEP
        self._remaining_bytes = _MAX_BYTES_PER_STEP
        self._apply_pending(now_s)

    def put(self, entry: LogEntry, now_s: float) -> None:
        """Append a committed entry; apply it if the step allows more."""
        self._entries.append(entry)
        self._apply_pending(now_s)

    def clear(self) -> None:
        """Discard entries that a restored snapshot already contains."""
        self._entries.clear()

    def schedule_step(self) -> bool:
        """Return whether to schedule another step.

        Return true only once until that step has begun.
        """
        if self._is_step_scheduled or not self._entries:
            return False
        self._is_step_scheduled = True
        return True

    def clear_scheduled(self) -> None:
        """Record that the scheduled step has begun."""
        self._is_step_scheduled = False

    def _apply_pending(self, now_s: float) -> None:
        while self._entries and self._remaining and self._remaining_bytes > 0:
            entry = self._entries.popleft()
            self._remaining -= 1
            self._remaining_bytes -= len(entry.payload)
            self._apply(entry, now_s)
