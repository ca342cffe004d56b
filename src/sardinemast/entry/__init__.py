"""Core of an entry process: admit requests and route them to upstreams."""

from sardinemast.entry._core import EntryCore, EntrySettings
from sardinemast.entry._events import (
    AttemptEnded,
    CallerDisconnected,
    ControlDisconnected,
    ControlReceived,
    EntryEvent,
    EntryOutput,
    ForwardAnswer,
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
    'CallerDisconnected',
    'ControlDisconnected',
    'ControlReceived',
    'EntryCore',
    'EntryEvent',
    'EntryOutput',
    'EntrySettings',
    'ForwardAnswer',
    'RefuseRequest',
    'RequestArrived',
    'SendToControl',
    'StartAttempt',
    'Tick',
    'UpstreamAnnounced',
)
