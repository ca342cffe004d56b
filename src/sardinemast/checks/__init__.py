"""Findings of settings validation, with their positions."""

from sardinemast.checks._findings import Finding, Level, format_finding
from sardinemast.checks.exceptions import CheckError

__all__ = ('CheckError', 'Finding', 'Level', 'format_finding')
