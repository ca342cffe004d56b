"""Time of day that is robust against jumps of the system clock."""

from collections import deque
from statistics import median

_MAX_SAMPLES = 41
_SAMPLE_INTERVAL_S = 0.5
_MS = 1000


class WallClock:
    """Derive the time of day from the monotonic clock.

    The offset is the median of the samples of the last 20 seconds. It ignores
    a jump of the system clock shorter than 10 seconds, which would start a
    scheduled job too early, and follows a lasting one.
    """

    def __init__(self) -> None:
        self._offsets_ms: deque[float] = deque(maxlen=_MAX_SAMPLES)
        self._next_sample_s = float('-inf')
        self._offset_ms: float = 0

    def record(self, now_s: float, wall_ms: int) -> None:
        """Record a reading of both clocks, at most one per interval."""
        if now_s >= self._next_sample_s:
            self._next_sample_s = now_s + _SAMPLE_INTERVAL_S
            self._offsets_ms.append(wall_ms - now_s * _MS)
            self._offset_ms = median(self._offsets_ms)

    def get_ms(self, now_s: float) -> int:
        """Return the Unix time in milliseconds."""
        return int(now_s * _MS + self._offset_ms)
