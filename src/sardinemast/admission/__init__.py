"""Who may run what, and what waits: keys, leases, grants, queues."""

from sardinemast.admission._dispatcher import Dispatcher
from sardinemast.admission._gate import (
    Admitted,
    Arrival,
    check_arrival,
    refuse_without_lease,
)
from sardinemast.admission._queue import Waiting
from sardinemast.admission._refusals import (
    Refusal,
    RunOutcome,
    refuse_not_run,
    refuse_unknown,
)
from sardinemast.admission._slots import SlotParts

__all__ = (
    'Admitted',
    'Arrival',
    'Dispatcher',
    'Refusal',
    'RunOutcome',
    'SlotParts',
    'Waiting',
    'check_arrival',
    'refuse_not_run',
    'refuse_unknown',
    'refuse_without_lease',
)
