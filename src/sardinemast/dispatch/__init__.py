"""Start, watch and stop the tasks of jobs on workers, at the leader."""

from sardinemast.dispatch._core import Dispatcher
from sardinemast.dispatch._events import (
    DispatchEvent,
    DispatchOutput,
    ListedEnd,
    ListedRun,
    LogDecision,
    LookAnswer,
    LookAtWorker,
    OrderOutcome,
    OrderUpkeep,
    PaceRun,
    Propose,
    RunAnswered,
    StartRun,
    StopRun,
    UpkeepAnswered,
    WorkerLooked,
)
from sardinemast.dispatch._settings import DispatchSettings

__all__ = (
    'DispatchEvent',
    'DispatchOutput',
    'DispatchSettings',
    'Dispatcher',
    'ListedEnd',
    'ListedRun',
    'LogDecision',
    'LookAnswer',
    'LookAtWorker',
    'OrderOutcome',
    'OrderUpkeep',
    'PaceRun',
    'Propose',
    'RunAnswered',
    'StartRun',
    'StopRun',
    'UpkeepAnswered',
    'WorkerLooked',
)
