"""Virtual clock that runs scheduled callbacks in the order of their time."""

from collections.abc import Callable
from heapq import heappop, heappush

Callback = Callable[[], None]


class VirtualClock:
    """Hold the virtual time and the callbacks scheduled on it."""

    def __init__(self, now_s: float) -> None:
        self.now_s = now_s
        self._queue: list[tuple[float, int, Callback]] = []
        self._sequence = 0

    def call_at(self, at_s: float, callback: Callback) -> None:
        """Schedule a callback at a time."""
        self._sequence += 1
        heappush(self._queue, (at_s, self._sequence, callback))

    def call_later(self, delay_s: float, callback: Callback) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_s + delay_s, callback)

    def run_until(
        self, end_s: float, record_elapsed: Callable[[float], None]
    ) -> None:
        """Run all callbacks due before ``end_s``.

        ``record_elapsed`` is called with the seconds that passed before each.
        """
        while self._queue and self._queue[0][0] < end_s:
            at_s, _, callback = heappop(self._queue)
            record_elapsed(at_s - self.now_s)
            self.now_s = at_s
            callback()
