"""A model of the systems that the product serves, in virtual time."""

from sardinemast.model._days import ENROLMENT_DAY, REGISTRY_DAY
from sardinemast.model._fleet import VirtualFleet
from sardinemast.model._ledger import DayFigures, Weights
from sardinemast.model._patterns import (
    DayPattern,
    QueuePattern,
    Sizes,
    Trouble,
)

__all__ = (
    'ENROLMENT_DAY',
    'REGISTRY_DAY',
    'DayFigures',
    'DayPattern',
    'QueuePattern',
    'Sizes',
    'Trouble',
    'VirtualFleet',
    'Weights',
)
