"""Differences between documents, and findings about one."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from sardinemast.fleet._documents import FleetDocument

MAX_CHANGES = 50


class DocumentChange(NamedTuple):
    """Describe a changed field; an empty value means that it is absent."""

    path: str
    before: str
    after: str


class DocumentFinding(NamedTuple):
    """Describe an error at a path of a document."""

    code: str
    path: str
    text: str


def diff_documents(
    before: FleetDocument,
    after: FleetDocument,
) -> tuple[DocumentChange, ...]:
    """Return all fields that differ, sorted by path."""
    old_fields = dict(_flatten('', before._asdict()))
    new_fields = dict(_flatten('', after._asdict()))
    return tuple(
        DocumentChange(path, old_fields.get(path, ''), new_fields.get(path, ''))
        for path in sorted(old_fields.keys() | new_fields.keys())
        if old_fields.get(path) != new_fields.get(path)
    )


def _flatten(path: str, part: Any) -> Iterable[tuple[str, str]]:
    if hasattr(part, '_asdict'):
        part = part._asdict()
    if not isinstance(part, Mapping):
        yield path, repr(part)
        return
    for name, inner in part.items():
        yield from _flatten(f'{path}.{name}' if path else name, inner)
