"""Which upstream runs a request, and what follows from how that ends."""

from sardinemast.routing._attempts import (
    AttemptOutcome,
    AttemptResult,
    AttemptTable,
    NextStep,
    StartAttempt,
)
from sardinemast.routing._picker import UpstreamPicker

__all__ = (
    'AttemptResult',
    'AttemptTable',
    'AttemptOutcome',
    'NextStep',
    'StartAttempt',
    'UpstreamPicker',
)
