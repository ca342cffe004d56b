"""Core of a control process: the log, leases, grants and the roster."""

from sardinemast.control._core import ControlCore, ControlSettings
from sardinemast.control._events import (
    AnswerOperator,
    AnswerRepair,
    ControlEvent,
    ControlOutput,
    EntryConnected,
    EntryDisconnected,
    EntryReceived,
    OperatorAnswer,
    OperatorAsked,
    OperatorsAsked,
    PeerReceived,
    RepairAsked,
    SendToEntry,
    Tick,
)

__all__ = (
    'AnswerOperator',
    'AnswerRepair',
    'ControlCore',
    'ControlEvent',
    'ControlOutput',
    'ControlSettings',
    'EntryConnected',
    'EntryDisconnected',
    'EntryReceived',
    'OperatorAnswer',
    'OperatorAsked',
    'OperatorsAsked',
    'PeerReceived',
    'RepairAsked',
    'SendToEntry',
    'Tick',
)
