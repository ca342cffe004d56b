"""Findings about settings, collected with their place."""

from sardinemast.checks._findings import Finding, Level, format_finding
from sardinemast.checks.exceptions import CheckError

__all__ = ('CheckError', 'Finding', 'Level', 'format_finding')
