"""Findings: a mistake in a settings file, its position and a hint."""

from enum import StrEnum
from typing import NamedTuple


class Level(StrEnum):
    """Severity of a finding; an error makes the settings unusable."""

    warning = 'warning'
    error = 'error'


class Finding(NamedTuple):
    """Hold a mistake and its position; lines and columns start at 1."""

    check_id: str
    level: Level
    message: str
    hint: str
    file: str
    line: int
    column: int


def format_finding(finding: Finding) -> str:
    """Return a finding as one line of text."""
    position = f'{finding.file}:{finding.line}:{finding.column}'
    text = f'{position}: {finding.level}: {finding.check_id}: {finding.message}'
    if finding.hint:
        return f'{text} {finding.hint}'
    return text
