"""Test fixtures: builders, simulated processes and golden sessions."""

from builders.fleets import make_announcement, make_document, make_fleet
from builders.golden import Session, check_golden
from builders.processes import Fleet, run_fleet

__all__ = (
    'Fleet',
    'Session',
    'check_golden',
    'make_announcement',
    'make_document',
    'make_fleet',
    'run_fleet',
)
