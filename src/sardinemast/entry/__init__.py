"""Core of an entry process: admission and routing on one state."""

from sardinemast.entry._core import EntryCore, EntrySettings
from sardinemast.entry._events import (
    AttemptEnded,
    CallerLeft,
    ControlLost,
    ControlReceived,
    EntryEvent,
    EntryOutput,
    PassAnswer,
    RefuseRequest,
    RequestArrived,
    SendToControl,
    Tick,
    UpstreamAnnounced,
)
from sardinemast.routing import AttemptResult, StartAttempt

__all__ = (
    'AttemptEnded',
    'AttemptResult',
    'CallerLeft',
    'ControlLost',
    'ControlReceived',
    'EntryCore',
    'EntryEvent',
    'EntryOutput',
    'EntrySettings',
    'PassAnswer',
    'RefuseRequest',
    'RequestArrived',
    'SendToControl',
    'StartAttempt',
    'Tick',
    'UpstreamAnnounced',
)
