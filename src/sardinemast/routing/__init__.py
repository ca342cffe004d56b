"""Selection of upstreams, attempts and retries."""

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
