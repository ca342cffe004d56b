"""Read one YAML file by a reader of fields."""

from pathlib import Path
from typing import Any

import yaml

from sardinemast.checks import Finding, Level
from sardinemast.conf._fields import INVALID, Reader, Source


def read_file(path: Path, read: Reader) -> tuple[Any, Source]:
    """Give what the file holds, and its source with all findings."""
    source = Source(str(path))
    try:
        content = path.read_bytes()
    except (OSError, ValueError) as error:
        # A name with a null byte is a ValueError to the language.
        problem = getattr(error, 'strerror', None) or error
        message = f'The file cannot be read: {problem}.'
        return source.report(None, 'conf.E002', message), source
    try:
        node = yaml.compose(content, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        source.findings.append(_describe_syntax(source.name, error))
        return INVALID, source
    if node is None:
        source.report(None, 'conf.E012', 'The file is empty.')
        return INVALID, source
    return read(source, node), source


def _describe_syntax(name: str, error: Exception) -> Finding:
    mark = getattr(error, 'problem_mark', None)
    problem = getattr(error, 'problem', None) or error
    return Finding(
        'conf.E013',
        Level.error,
        f'No YAML: {problem}.',
        '',
        name,
        mark.line + 1 if mark else 1,
        mark.column + 1 if mark else 1,
    )
