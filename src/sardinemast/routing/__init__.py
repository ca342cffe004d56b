"""Which upstream runs a request, and what follows from how that ends."""

from sardinemast.routing._attempts import (
    AttemptResult,
    AttemptTable,
    Ending,
    NextStep,
    StartAttempt,
)
from sardinemast.routing._picker import UpstreamPicker

__all__ = (
    'AttemptResult',
    'AttemptTable',
    'Ending',
    'NextStep',
    'StartAttempt',
    'UpstreamPicker',
)
