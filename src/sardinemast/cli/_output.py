"""Formatters of answers: table, JSON and YAML."""

import json
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Any

import yaml

from sardinemast.cli.exceptions import UsageError

Formatter = Callable[[Any], str]


def get_formatter(name: str) -> Formatter:
    """Return the named formatter, or raise ``cli.E004``."""
    formatter = _FORMATTERS.get(name)
    if formatter is None:
        raise UsageError(
            'cli.E004',
            f'Unknown output format {name!r}.',
            f'Known formats: {", ".join(_FORMATTERS)}.',
        )
    return formatter


def format_json(answer: Any) -> str:
    """Return an answer as JSON."""
    return json.dumps(answer, indent=2, default=str)


def format_yaml(answer: Any) -> str:
    """Return an answer as YAML."""
    plain = json.loads(format_json(answer))
    return yaml.safe_dump(plain, sort_keys=False).rstrip()


def format_table(answer: Any) -> str:
    """Return an answer as human-readable lines and tables."""
    if isinstance(answer, Mapping):
        return '\n'.join(
            _format_field(str(name), field_value)
            for name, field_value in answer.items()
        )
    return str(answer)


def _format_field(name: str, field_value: Any) -> str:
    if _is_rows(field_value):
        return f'{name}:\n{_format_rows(field_value)}'
    if isinstance(field_value, Mapping):
        return f'{name}: {json.dumps(field_value, default=str)}'
    return f'{name}: {field_value}'


def _is_rows(field_value: Any) -> bool:
    return (
        isinstance(field_value, Sequence)
        and not isinstance(field_value, str)
        and bool(field_value)
        and all(isinstance(row, Mapping) for row in field_value)
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
