"""Hybrid logical clock (Kulkarni et al., 2014)."""

from collections.abc import Callable
from typing import NamedTuple


class Stamp(NamedTuple):
    """Order events: by wall clock, then by cause."""

    wall_ms: int
    counter: int


class HybridClock:
    """Give stamps that follow the wall clock and never contradict a message.

    Wall clocks of two instances differ. Without the logical part an answer
    could stand before its question on the merged time line.
    """

    def __init__(self, get_wall_ms: Callable[[], int]) -> None:
        self._get_wall_ms = get_wall_ms
        self._last = Stamp(0, 0)

    def stamp(self) -> Stamp:
        """Give the stamp of an event that happens now."""
        wall_ms = self._get_wall_ms()
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, received: Stamp) -> None:
        """Make all later stamps follow the received one."""
        self._last = max(self._last, received)
