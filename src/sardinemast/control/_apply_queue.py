"""Committed entries on their way into the state."""

from collections import deque
from collections.abc import Callable

from sardinemast.consensus import LogEntry

# Some 10 ms of work. A replica that starts again learns at once that its whole
# log is committed. Applied in one go, thousands of entries took longer than
# followers wait for a heartbeat, and each leader in turn lost its term.
_APPLIED_A_STEP = 64


class ApplyQueue:
    """Apply entries in their order, so many in each step of the core."""

    def __init__(self, apply: Callable[[LogEntry, float], None]) -> None:
        self._apply = apply
        self._entries: deque[LogEntry] = deque()
        self._left = _APPLIED_A_STEP
        self._is_continued = False

    def begin_step(self, now_s: float) -> None:
        """Apply what was left over from the steps before."""
        self._left = _APPLIED_A_STEP
        self._apply_some(now_s)

    def put(self, entry: LogEntry, now_s: float) -> None:
        """Take an entry that is committed."""
        self._entries.append(entry)
        self._apply_some(now_s)

    def clear(self) -> None:
        """Drop entries that a snapshot stands for."""
        self._entries.clear()

    def must_continue(self) -> bool:
        """Tell, once until it happens, whether another step is needed."""
        if self._is_continued or not self._entries:
            return False
        self._is_continued = True
        return True

    def note_continued(self) -> None:
        """Note that the step that was asked for has come."""
        self._is_continued = False

    def _apply_some(self, now_s: float) -> None:
        while self._entries and self._left:
            self._left -= 1
            self._apply(self._entries.popleft(), now_s)
