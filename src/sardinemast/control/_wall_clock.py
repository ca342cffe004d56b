"""Time of day that no single jump of the system's clock moves."""

from collections import deque
from statistics import median

_SAMPLES = 41
_SAMPLE_S = 0.5
_MS = 1000


class WallClock:
    """Follow the time of day by the steady clock.

    The time of day may jump by seconds and back again. A job that is due at
    a time would start too early by the jump. The middle of the last twenty
    seconds' differences to the steady clock passes over a jump of less than
    ten seconds, and follows a lasting one after that.
    """

    def __init__(self) -> None:
        self._offsets_ms: deque[float] = deque(maxlen=_SAMPLES)
        self._due_s = float('-inf')
        self._offset_ms: float = 0

    def note(self, now_s: float, wall_ms: int) -> None:
        """Take a reading of both clocks."""
        if now_s >= self._due_s:
            self._due_s = now_s + _SAMPLE_S
            self._offsets_ms.append(wall_ms - now_s * _MS)
            self._offset_ms = median(self._offsets_ms)

    def get_ms(self, now_s: float) -> int:
        """Give the Unix time in milliseconds."""
        return int(now_s * _MS + self._offset_ms)
