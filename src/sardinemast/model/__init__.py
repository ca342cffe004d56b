"""Simulation of a fleet and its workload in virtual time."""

from sardinemast.model._arrival_times import Period
from sardinemast.model._bursts import LoadBurst
from sardinemast.model._days import (
    CONTENTION_DAY,
    ENROLMENT_DAY,
    PAIRINGS_DAY,
    REGISTRY_DAY,
    WIDE_STEPS_DAY,
)
from sardinemast.model._scoring import DayResults, ScoreWeights
from sardinemast.model._simulation import FleetSimulation
from sardinemast.model._workload import (
    DayPattern,
    Disruption,
    Distribution,
    QueuePattern,
)

__all__ = (
    'CONTENTION_DAY',
    'ENROLMENT_DAY',
    'PAIRINGS_DAY',
    'REGISTRY_DAY',
    'DayPattern',
    'DayResults',
    'Disruption',
    'Distribution',
    'FleetSimulation',
    'LoadBurst',
    'Period',
    'QueuePattern',
    'ScoreWeights',
    'WIDE_STEPS_DAY',
)
