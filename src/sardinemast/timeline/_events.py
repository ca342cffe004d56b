"""Events and their merging."""

import heapq
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from typing import Any, NamedTuple

from sardinemast.timeline._clock import Stamp

_MS_PER_S = 1000


class TimelineEvent(NamedTuple):
    """Hold what happened, in which incarnation of which process."""

    stamp: Stamp
    process: str
    incarnation: int
    kind: str
    details: Mapping[str, Any]


def merge_events(
    *streams: Iterable[TimelineEvent],
) -> list[TimelineEvent]:
    """Merge ordered streams into one order that no message contradicts."""
    return list(heapq.merge(*streams, key=lambda event: event.stamp))


def format_event(event: TimelineEvent) -> str:
    """Give an event as one line."""
    moment = datetime.fromtimestamp(event.stamp.wall_ms / _MS_PER_S, UTC)
    details = ' '.join(
        f'{name}={shown}' for name, shown in event.details.items()
    )
    clock = moment.strftime('%H:%M:%S.%f')[:-3]
    return (
        f'{clock}+{event.stamp.counter:<3} {event.process:<12} '
        f'{event.kind:<18} {details}'
    ).rstrip()
