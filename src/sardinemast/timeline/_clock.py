"""Hybrid logical clock (Kulkarni et al., 2014)."""

from collections.abc import Callable
from typing import NamedTuple

_AHEAD_MAX_MS = 3_600_000
_COUNTER_MAX = 1_000_000_000


class Stamp(NamedTuple):
    """Hold a hybrid timestamp; stamps compare in causal order."""

    wall_ms: int
    counter: int


class HybridClock:
    """Issue timestamps that follow the wall clock and preserve causality.

    Wall clocks of instances differ. Without the logical counter, a response
    could precede its request on the merged timeline.
    """

    def __init__(self, get_wall_ms: Callable[[], int]) -> None:
        self._get_wall_ms = get_wall_ms
        self._last = Stamp(0, 0)

    def stamp(self) -> Stamp:
        """Return the timestamp of an event that occurs now."""
        wall_ms = self._get_wall_ms()
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, received: Stamp) -> None:
        """Ensure that later timestamps are greater than a received one.

        Ignore one that no clock shows. It would spread to all processes, and
        none could show a time again.
        """
        limit_ms = self._get_wall_ms() + _AHEAD_MAX_MS
        if received.wall_ms <= limit_ms and received.counter <= _COUNTER_MAX:
            self._last = max(self._last, received)
