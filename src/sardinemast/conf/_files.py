"""Read a YAML file with a field reader."""

from pathlib import Path
from typing import Any

import yaml

from sardinemast.checks import Finding, Level
from sardinemast.conf._fields import INVALID, Reader, SettingsFile


def read_file(path: Path, read: Reader) -> tuple[Any, SettingsFile]:
    """Return the parsed content, and the file with its findings."""
    file = SettingsFile(str(path))
    try:
        content = path.read_bytes()
    except (OSError, ValueError) as error:
        # Python raises ValueError for a path with a null byte.
        problem = getattr(error, 'strerror', None) or error
        message = f'The file cannot be read: {problem}.'
        return file.report(None, 'conf.E002', message), file
    try:
        node = yaml.compose(content, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        file.findings.append(_make_syntax_finding(file.name, error))
        return INVALID, file
    if node is None:
        file.report(None, 'conf.E012', 'The file is empty.')
        return INVALID, file
    return read(file, node), file


def _make_syntax_finding(name: str, error: Exception) -> Finding:
    mark = getattr(error, 'problem_mark', None)
    problem = getattr(error, 'problem', None) or error
    return Finding(
        'conf.E013',
        Level.error,
        f'Invalid YAML: {problem}.',
        '',
        name,
        mark.line + 1 if mark else 1,
        mark.column + 1 if mark else 1,
    )
