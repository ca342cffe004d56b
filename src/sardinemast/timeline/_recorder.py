"""Recorder of the recent events of a process."""

from collections import deque
from typing import Any

from sardinemast.timeline._clock import HybridClock
from sardinemast.timeline._events import TimelineEvent

MAX_EVENTS = 20_000


class Recorder:
    """Keep the latest ``MAX_EVENTS`` events in memory."""

    def __init__(
        self,
        process: str,
        incarnation: int,
        clock: HybridClock,
    ) -> None:
        self.clock = clock
        self._process = process
        self._incarnation = incarnation
        self._events: deque[TimelineEvent] = deque(maxlen=MAX_EVENTS)

    def record(self, kind: str, **details: Any) -> None:
        """Record an event; details must not contain API keys or bodies."""
        self._events.append(
            TimelineEvent(
                self.clock.stamp(),
                self._process,
                self._incarnation,
                kind,
                details,
            ),
        )

    def get_events(self) -> tuple[TimelineEvent, ...]:
        """Return the events, oldest first."""
        return tuple(self._events)
