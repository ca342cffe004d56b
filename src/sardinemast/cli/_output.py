"""Answers as a table, JSON or YAML."""

import json
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Any

import yaml

from sardinemast.cli.exceptions import UsageError

Formatter = Callable[[Any], str]


def get_formatter(name: str) -> Formatter:
    """Give the formatter of the name, or raise ``cli.E004``."""
    formatter = _FORMATTERS.get(name)
    if formatter is None:
        raise UsageError(
            'cli.E004',
            f'No output {name!r}.',
            f'Known are {", ".join(_FORMATTERS)}.',
        )
    return formatter


def format_json(answer: Any) -> str:
    """Give an answer as JSON."""
    return json.dumps(answer, indent=2, default=str)


def format_yaml(answer: Any) -> str:
    """Give an answer as YAML."""
    plain = json.loads(format_json(answer))
    return yaml.safe_dump(plain, sort_keys=False).rstrip()


def format_table(answer: Any) -> str:
    """Give an answer as lines for people."""
    if isinstance(answer, Mapping):
        return '\n'.join(
            _format_field(str(name), shown) for name, shown in answer.items()
        )
    return str(answer)


def _format_field(name: str, shown: Any) -> str:
    if _is_rows(shown):
        return f'{name}:\n{_format_rows(shown)}'
    if isinstance(shown, Mapping):
        return f'{name}: {json.dumps(shown, default=str)}'
    return f'{name}: {shown}'


def _is_rows(shown: Any) -> bool:
    return (
        isinstance(shown, Sequence)
        and not isinstance(shown, str)
        and bool(shown)
        and all(isinstance(row, Mapping) for row in shown)
    )


def _format_rows(rows: Sequence[Mapping[str, Any]]) -> str:
    names = list(rows[0])
    cells = [
        names,
        *([str(row.get(name, '')) for name in names] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return '\n'.join(_format_row(row, widths) for row in cells)


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(row, widths, strict=True)
    )
    return f'  {"  ".join(padded)}'.rstrip()


_FORMATTERS: Mapping[str, Formatter] = MappingProxyType(
    {'table': format_table, 'json': format_json, 'yaml': format_yaml},
)
