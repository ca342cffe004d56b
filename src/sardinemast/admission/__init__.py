"""Admission and queueing of requests at an entry."""

from sardinemast.admission._gate import (
    Admission,
    Arrival,
    check_arrival,
    refuse_without_lease,
)
from sardinemast.admission._refusals import (
    Refusal,
    RunOutcome,
    refuse_not_run,
    refuse_unknown,
)
from sardinemast.admission._request_queue import QueuedRequest
from sardinemast.admission._scheduler import RequestScheduler
from sardinemast.admission._slot_allotments import SlotAllotments

__all__ = (
    'Admission',
    'Arrival',
    'RequestScheduler',
    'Refusal',
    'RunOutcome',
    'SlotAllotments',
    'QueuedRequest',
    'check_arrival',
    'refuse_not_run',
    'refuse_unknown',
    'refuse_without_lease',
)
