"""Timeline events, and how they are merged and formatted."""

import heapq
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from typing import Any, NamedTuple

from sardinemast.timeline._clock import Stamp

_MS_PER_S = 1000


class TimelineEvent(NamedTuple):
    """Hold an event of one incarnation of a process."""

    stamp: Stamp
    process: str
    incarnation: int
    kind: str
    details: Mapping[str, Any]


def merge_events(
    *streams: Iterable[TimelineEvent],
) -> list[TimelineEvent]:
    """Merge streams, each sorted by timestamp, in causal order."""
    return list(heapq.merge(*streams, key=lambda event: event.stamp))


def format_event(event: TimelineEvent) -> str:
    """Return an event as one line of text."""
    occurred_at = datetime.fromtimestamp(event.stamp.wall_ms / _MS_PER_S, UTC)
    details = ' '.join(
        f'{name}={detail}' for name, detail in event.details.items()
    )
    clock = occurred_at.strftime('%H:%M:%S.%f')[:-3]
    return (
        f'{clock}+{event.stamp.counter:<3} {event.process:<12} '
        f'{event.kind:<18} {details}'
    ).rstrip()
