"""Readers that convert YAML nodes to validated values.

A reader returns the value, or reports a finding with its position and returns
``INVALID``, so that one pass reports every mistake of a file.
"""

import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import yaml

from sardinemast.checks import Finding, Level

INVALID: Any = object()
_MAX_PORT = 65535


class SettingsFile:
    """Hold the name of a settings file and its findings."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.findings: list[Finding] = []

    def report(
        self,
        node: yaml.Node | None,
        check_id: str,
        message: str,
        hint: str = '',
    ) -> Any:
        """Report an error at the node and return ``INVALID``."""
        line, column = 1, 1
        if node is not None:
            line = node.start_mark.line + 1
            column = node.start_mark.column + 1
        self.findings.append(
            Finding(
                check_id,
                Level.error,
                message,
                hint,
                self.name,
                line,
                column,
            ),
        )
        return INVALID


Reader = Callable[[SettingsFile, yaml.Node], Any]


class Field(NamedTuple):
    """Define one key of a record; it is required without a default."""

    read: Reader
    default: Any = INVALID


def text() -> Reader:
    """Return a reader of a non-empty string."""

    def read(file: SettingsFile, node: yaml.Node) -> Any:
        if isinstance(node, yaml.ScalarNode) and node.value.strip():
            return node.value
        return file.report(node, 'conf.E003', 'Expected a non-empty string.')

    return read


def number(
    minimum: float,
    maximum: float = math.inf,
    *,
    is_whole: bool = False,
) -> Reader:
    """Return a reader of a finite number within the bounds."""

    def read(file: SettingsFile, node: yaml.Node) -> Any:
        parsed = _parse_number(node, is_whole=is_whole)
        if parsed is None:
            kind = 'whole number' if is_whole else 'number'
            return file.report(node, 'conf.E004', f'Expected a {kind}.')
        if parsed < minimum:
            return file.report(
                node,
                'conf.E005',
                f'{parsed} is less than the minimum {minimum}.',
            )
        if parsed > maximum:
            return file.report(
                node,
                'conf.E018',
                f'{parsed} is greater than the maximum {maximum}.',
            )
        return parsed

    return read


def choice(*known: str) -> Reader:
    """Return a reader of one of the known values."""

    def read(file: SettingsFile, node: yaml.Node) -> Any:
        if isinstance(node, yaml.ScalarNode) and node.value in known:
            return node.value
        return file.report(
            node,
            'conf.E006',
            f'Expected one of: {", ".join(known)}.',
        )

    return read


def list_of(read_item: Reader) -> Reader:
    """Return a reader of a list."""

    def read(file: SettingsFile, node: yaml.Node) -> Any:
        if not isinstance(node, yaml.SequenceNode):
            return file.report(node, 'conf.E007', 'Expected a list.')
        return tuple(read_item(file, item_node) for item_node in node.value)

    return read


def host_and_port(read_record: Reader) -> Reader:
    """Return a reader of a host and port, as a record or one string."""

    def read(file: SettingsFile, node: yaml.Node) -> Any:
        if not isinstance(node, yaml.ScalarNode):
            return read_record(file, node)
        host, _, port = node.value.rpartition(':')
        if host and port.isdigit() and int(port) <= _MAX_PORT:
            return {'host': host, 'port': int(port)}
        return file.report(
            node,
            'conf.E022',
            f'{node.value!r} is not a valid address.',
            'Use host:port.',
        )

    return read


def mapping_of(read_value: Reader) -> Reader:
    """Return a reader of a map from names to values of one type."""

    def read(file: SettingsFile, node: yaml.Node) -> Any:
        if not isinstance(node, yaml.MappingNode):
            return file.report(node, 'conf.E008', 'Expected a map.')
        parsed: dict[str, Any] = {}
        for key_node, value_node in node.value:
            if key_node.value in parsed:
                _report_duplicate(file, key_node)
            parsed[key_node.value] = read_value(file, value_node)
        return parsed

    return read


def record(fields: Mapping[str, Field]) -> Reader:
    """Return a reader of a map of known keys that fills in defaults."""

    def read(file: SettingsFile, node: yaml.Node) -> Any:
        if not isinstance(node, yaml.MappingNode):
            return file.report(node, 'conf.E008', 'Expected a map.')
        parsed = _read_known(file, node, fields)
        for name, field in fields.items():
            if name not in parsed:
                parsed[name] = field.default
                if field.default is INVALID:
                    file.report(
                        node, 'conf.E009', f'Required key {name!r} is missing.'
                    )
        return parsed

    return read


def partial_record(fields: Mapping[str, Field]) -> Reader:
    """Return a reader of a map of known keys, without defaults."""

    def read(file: SettingsFile, node: yaml.Node) -> Any:
        if not isinstance(node, yaml.MappingNode):
            return file.report(node, 'conf.E008', 'Expected a map.')
        return _read_known(file, node, fields)

    return read


def get_defaults(fields: Mapping[str, Field]) -> dict[str, Any]:
    """Return the defaults of all fields of a record."""
    return {name: field.default for name, field in fields.items()}


def _read_known(
    file: SettingsFile,
    node: yaml.MappingNode,
    fields: Mapping[str, Field],
) -> dict[str, Any]:
    parsed: dict[str, Any] = {}
    for key_node, value_node in node.value:
        name = key_node.value
        field = fields.get(name)
        if name in parsed:
            _report_duplicate(file, key_node)
        elif field:
            parsed[name] = field.read(file, value_node)
        else:
            file.report(
                key_node,
                'conf.E010',
                f'Unknown setting {name!r}.',
                f'Known settings: {", ".join(sorted(fields))}.',
            )
    return parsed


def _report_duplicate(file: SettingsFile, key_node: yaml.Node) -> None:
    file.report(
        key_node,
        'conf.E011',
        f'Duplicate key {key_node.value!r}.',
        'Remove all but one.',
    )


def _parse_number(node: yaml.Node, *, is_whole: bool) -> float | None:
    if not isinstance(node, yaml.ScalarNode):
        return None
    try:
        parsed = int(node.value) if is_whole else float(node.value)
    except ValueError:
        return None
    return parsed if math.isfinite(parsed) else None
