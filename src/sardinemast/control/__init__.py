"""Core of a control process: the log, leases, grants and the roster."""

from sardinemast.control._core import ControlCore, ControlSettings
from sardinemast.control._events import (
    AnswerOperator,
    ControlEvent,
    ControlOutput,
    EntryConnected,
    EntryDisconnected,
    EntryReceived,
    OperatorAnswer,
    OperatorAsked,
    PeerReceived,
    SendToEntry,
    Tick,
)

__all__ = (
    'AnswerOperator',
    'ControlCore',
    'ControlEvent',
    'ControlOutput',
    'ControlSettings',
    'EntryConnected',
    'EntryDisconnected',
    'EntryReceived',
    'OperatorAnswer',
    'OperatorAsked',
    'PeerReceived',
    'SendToEntry',
    'Tick',
)
