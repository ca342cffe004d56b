"""Schedule tasks on workers and maintain instances, at the leader."""

from sardinemast.dispatch._admission_policy import AdmissionPolicy
from sardinemast.dispatch._core import Dispatcher
from sardinemast.dispatch._event_budget import EventBudget
from sardinemast.dispatch._events import (
    AdviceAnswered,
    DispatchEvent,
    DispatchOutput,
    LogDecision,
    PollWorker,
    Propose,
    ReportedEnd,
    ReportedRun,
    RequestAdvice,
    StartAnswered,
    StartRun,
    StopRun,
    ThrottleRun,
    Ticket,
    WorkerContested,
    WorkerPolled,
    WorkerReport,
)
from sardinemast.dispatch._instance_events import (
    InstancesListed,
    ListedInstance,
    ListInstances,
    MaintenanceAnswered,
    MoveAnswered,
    OrderMaintenance,
    OrderMove,
)
from sardinemast.dispatch._lease_policy import LeasePolicy
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._settings import (
    DispatchSettings,
    FailureDomainPolicy,
    LearningPolicy,
    PoolPolicy,
    PreemptionPolicy,
    TeamShares,
)
from sardinemast.dispatch._wait_estimates import WaitEstimate, WaitEstimates

__all__ = (
    'AdmissionPolicy',
    'AdviceAnswered',
    'Dispatcher',
    'DispatchEvent',
    'DispatchOutput',
    'DispatchSettings',
    'EventBudget',
    'FailureDomainPolicy',
    'InstancesListed',
    'LearningPolicy',
    'LeasePolicy',
    'ListedInstance',
    'ListInstances',
    'LogDecision',
    'MaintenanceAnswered',
    'MoveAnswered',
    'OrderMaintenance',
    'OrderMove',
    'OrderOutcome',
    'PollWorker',
    'PoolPolicy',
    'PreemptionPolicy',
    'Propose',
    'ReportedEnd',
    'ReportedRun',
    'RequestAdvice',
    'StartAnswered',
    'StartRun',
    'StopRun',
    'TeamShares',
    'ThrottleRun',
    'Ticket',
    'WaitEstimate',
    'WaitEstimates',
    'WorkerContested',
    'WorkerPolled',
    'WorkerReport',
)
