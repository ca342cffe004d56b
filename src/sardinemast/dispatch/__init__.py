"""Start, watch and stop the tasks of jobs on workers, at the leader."""

from sardinemast.dispatch._core import Dispatcher
from sardinemast.dispatch._events import (
    AdviceAnswered,
    AskAdvice,
    DispatchEvent,
    DispatchOutput,
    ListedEnd,
    ListedRun,
    LogDecision,
    LookAnswer,
    LookAtWorker,
    PaceRun,
    Propose,
    RunAnswered,
    StartRun,
    StopRun,
    Ticket,
    WorkerLooked,
)
from sardinemast.dispatch._instance_events import (
    InstancesListed,
    ListedInstance,
    ListInstances,
    MoveAnswered,
    OrderMove,
    OrderUpkeep,
    UpkeepAnswered,
)
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._settings import DispatchSettings, PoolPolicy

__all__ = (
    'AdviceAnswered',
    'AskAdvice',
    'DispatchEvent',
    'DispatchOutput',
    'DispatchSettings',
    'Dispatcher',
    'InstancesListed',
    'ListedEnd',
    'ListInstances',
    'ListedInstance',
    'ListedRun',
    'LogDecision',
    'LookAnswer',
    'LookAtWorker',
    'MoveAnswered',
    'OrderMove',
    'OrderOutcome',
    'OrderUpkeep',
    'PaceRun',
    'PoolPolicy',
    'Propose',
    'RunAnswered',
    'StartRun',
    'StopRun',
    'Ticket',
    'UpkeepAnswered',
    'WorkerLooked',
)
