"""What differs between two documents, and what is wrong with one."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from sardinemast.fleet._documents import FleetDocument

MAX_CHANGES = 50


class DocumentChange(NamedTuple):
    """Hold one field that differs; an empty text stands for nothing."""

    path: str
    before: str
    after: str


class DocumentFinding(NamedTuple):
    """Hold one mistake of a document and where it is."""

    code: str
    path: str
    text: str


def diff_documents(
    before: FleetDocument,
    after: FleetDocument,
) -> tuple[DocumentChange, ...]:
    """Give all fields that differ, in the order of their paths."""
    old = dict(_flatten('', before._asdict()))
    new = dict(_flatten('', after._asdict()))
    return tuple(
        DocumentChange(path, old.get(path, ''), new.get(path, ''))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    )


def _flatten(path: str, part: Any) -> Iterable[tuple[str, str]]:
    if hasattr(part, '_asdict'):
        part = part._asdict()
    if not isinstance(part, Mapping):
        yield path, repr(part)
        return
    for name, inner in part.items():
        yield from _flatten(f'{path}.{name}' if path else name, inner)
