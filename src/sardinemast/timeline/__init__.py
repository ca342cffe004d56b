"""Events of all processes, merged into one timeline."""

from sardinemast.timeline._clock import HybridClock, Stamp
from sardinemast.timeline._events import (
    TimelineEvent,
    format_event,
    merge_events,
)
from sardinemast.timeline._recorder import Recorder

__all__ = (
    'HybridClock',
    'Recorder',
    'Stamp',
    'TimelineEvent',
    'format_event',
    'merge_events',
)
