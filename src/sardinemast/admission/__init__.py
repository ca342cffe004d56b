"""Who may run what, and what waits: keys, leases, grants, queues."""

from sardinemast.admission._gate import (
    Admitted,
    Arrival,
    check_arrival,
    refuse_without_lease,
)
from sardinemast.admission._queue import Waiting, WaitingQueue
from sardinemast.admission._refusals import (
    Refusal,
    RunOutcome,
    refuse_not_run,
    refuse_unknown,
)
from sardinemast.admission._usage import TeamUsage

__all__ = (
    'Admitted',
    'Arrival',
    'Refusal',
    'RunOutcome',
    'TeamUsage',
    'Waiting',
    'WaitingQueue',
    'check_arrival',
    'refuse_not_run',
    'refuse_unknown',
    'refuse_without_lease',
)
