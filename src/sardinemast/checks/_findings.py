"""What is wrong, where, and what to do about it."""

from enum import StrEnum
from typing import NamedTuple


class Level(StrEnum):
    """How bad a finding is; an error keeps the settings from being used."""

    warning = 'warning'
    error = 'error'


class Finding(NamedTuple):
    """Hold one mistake and its place; lines and columns count from 1."""

    check_id: str
    level: Level
    message: str
    hint: str
    file: str
    line: int
    column: int


def format_finding(finding: Finding) -> str:
    """Give a finding as one line."""
    place = f'{finding.file}:{finding.line}:{finding.column}'
    text = f'{place}: {finding.level}: {finding.check_id}: {finding.message}'
    if finding.hint:
        return f'{text} {finding.hint}'
    return text
