"""Field readers: closures that turn YAML nodes into checked values.

A reader gives the value, or notes a finding with its place and gives
``INVALID``, so that one pass reports every mistake of a file.
"""

import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import yaml

from sardinemast.checks import Finding, Level

INVALID: Any = object()
_HIGHEST_PORT = 65535


class Source:
    """Hold the name of a file and what was found in it."""

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
        """Note an error at the node, and give ``INVALID``."""
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


Reader = Callable[[Source, yaml.Node], Any]


class Field(NamedTuple):
    """Read one key of a record; without a default it must be there."""

    read: Reader
    default: Any = INVALID


def text() -> Reader:
    """Read a text that is not empty."""

    def read(source: Source, node: yaml.Node) -> Any:
        if isinstance(node, yaml.ScalarNode) and node.value.strip():
            return node.value
        return source.report(node, 'conf.E003', 'A text is expected.')

    return read


def number(
    minimum: float,
    maximum: float = math.inf,
    *,
    is_whole: bool = False,
) -> Reader:
    """Read a finite number from the minimum to the maximum."""

    def read(source: Source, node: yaml.Node) -> Any:
        found = _parse_number(node, is_whole=is_whole)
        if found is None:
            kind = 'whole number' if is_whole else 'number'
            return source.report(node, 'conf.E004', f'A {kind} is expected.')
        if found < minimum:
            return source.report(
                node,
                'conf.E005',
                f'{found} is below {minimum}.',
            )
        if found > maximum:
            return source.report(
                node,
                'conf.E018',
                f'{found} is above {maximum}.',
            )
        return found

    return read


def choice(*known: str) -> Reader:
    """Read one of the known words."""

    def read(source: Source, node: yaml.Node) -> Any:
        if isinstance(node, yaml.ScalarNode) and node.value in known:
            return node.value
        return source.report(
            node,
            'conf.E006',
            f'One of {", ".join(known)} is expected.',
        )

    return read


def list_of(read_item: Reader) -> Reader:
    """Read a list."""

    def read(source: Source, node: yaml.Node) -> Any:
        if not isinstance(node, yaml.SequenceNode):
            return source.report(node, 'conf.E007', 'A list is expected.')
        return tuple(read_item(source, item_node) for item_node in node.value)

    return read


def host_and_port(read_record: Reader) -> Reader:
    """Read a record of host and port, or both in one text."""

    def read(source: Source, node: yaml.Node) -> Any:
        if not isinstance(node, yaml.ScalarNode):
            return read_record(source, node)
        host, _, port = node.value.rpartition(':')
        if host and port.isdigit() and int(port) <= _HIGHEST_PORT:
            return {'host': host, 'port': int(port)}
        return source.report(
            node,
            'conf.E022',
            f'{node.value!r} is no address.',
            'Write host:port.',
        )

    return read


def mapping_of(read_value: Reader) -> Reader:
    """Read a map from names to values of one kind."""

    def read(source: Source, node: yaml.Node) -> Any:
        if not isinstance(node, yaml.MappingNode):
            return source.report(node, 'conf.E008', 'A map is expected.')
        found: dict[str, Any] = {}
        for key_node, value_node in node.value:
            if key_node.value in found:
                _report_double(source, key_node)
            found[key_node.value] = read_value(source, value_node)
        return found

    return read


def record(fields: Mapping[str, Field]) -> Reader:
    """Read a map of known keys; what is left out gets its default."""

    def read(source: Source, node: yaml.Node) -> Any:
        if not isinstance(node, yaml.MappingNode):
            return source.report(node, 'conf.E008', 'A map is expected.')
        found = _read_known(source, node, fields)
        for name, field in fields.items():
            if name not in found:
                found[name] = field.default
                if field.default is INVALID:
                    source.report(node, 'conf.E009', f'{name!r} is missing.')
        return found

    return read


def partial_record(fields: Mapping[str, Field]) -> Reader:
    """Read a map of known keys, and give only those that are there."""

    def read(source: Source, node: yaml.Node) -> Any:
        if not isinstance(node, yaml.MappingNode):
            return source.report(node, 'conf.E008', 'A map is expected.')
        return _read_known(source, node, fields)

    return read


def get_defaults(fields: Mapping[str, Field]) -> dict[str, Any]:
    """Give what a record has where nothing of it is set."""
    return {name: field.default for name, field in fields.items()}


def _read_known(
    source: Source,
    node: yaml.MappingNode,
    fields: Mapping[str, Field],
) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key_node, value_node in node.value:
        name = key_node.value
        field = fields.get(name)
        if name in found:
            _report_double(source, key_node)
        elif field:
            found[name] = field.read(source, value_node)
        else:
            source.report(
                key_node,
                'conf.E010',
                f'{name!r} is no setting.',
                f'Known are {", ".join(sorted(fields))}.',
            )
    return found


def _report_double(source: Source, key_node: yaml.Node) -> None:
    source.report(
        key_node,
        'conf.E011',
        f'{key_node.value!r} stands twice.',
        'Keep one.',
    )


def _parse_number(node: yaml.Node, *, is_whole: bool) -> float | None:
    if not isinstance(node, yaml.ScalarNode):
        return None
    try:
        found = int(node.value) if is_whole else float(node.value)
    except ValueError:
        return None
    return found if math.isfinite(found) else None
