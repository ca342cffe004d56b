"""Turn typed records into plain values and back.

A ``NamedTuple`` becomes a list of its fields. A member of a ``MessageSet``
becomes a pair of its class name and that list, so that the reader knows which
class to build.
"""

import types
from collections.abc import Mapping
from contextlib import suppress
from enum import Enum
from functools import cache
from typing import Any, Union, get_args, get_origin, get_type_hints

import cbor2

from sardinemast.wire.exceptions import WireError

_TAGGED_LENGTH = 2
_SCALARS = (int, float, str, bytes, bool)


def dump_plain(record: Any) -> Any:
    """Give the record as lists, maps and scalars."""
    if isinstance(record, Enum):
        return record.value
    if isinstance(record, tuple):
        return [dump_plain(part) for part in record]
    if isinstance(record, Mapping):
        return {key: dump_plain(part) for key, part in record.items()}
    return record


def load_plain(kind: Any, plain: Any) -> Any:
    """Build a value of the kind, or raise ``wire.E002``."""
    if kind is Any:
        return plain
    origin = get_origin(kind)
    if origin is not None:
        return _build_generic(kind, origin, plain)
    if kind in _SCALARS:
        return _check_scalar(kind, plain)
    if kind is types.NoneType and plain is None:
        return None
    return _build_class(kind, plain)


def _build_class(kind: Any, plain: Any) -> Any:
    if isinstance(kind, type) and issubclass(kind, Enum):
        try:
            return kind(plain)
        except ValueError:
            raise _mismatch(kind, plain) from None
    if isinstance(kind, type) and issubclass(kind, tuple):
        return _build_record(kind, plain)
    raise _mismatch(kind, plain)


def _check_scalar(kind: type, plain: Any) -> Any:
    # A bool is an int to the language, but never where a number is meant.
    is_exact = plain.__class__ is kind
    if kind is float and plain.__class__ is int:
        return float(plain)
    if is_exact:
        return plain
    raise _mismatch(kind, plain)


def _build_generic(kind: Any, origin: Any, plain: Any) -> Any:
    parts = get_args(kind)
    if origin is tuple and isinstance(plain, list):
        return tuple(load_plain(parts[0], part) for part in plain)
    if origin in {dict, Mapping} and isinstance(plain, dict):
        return {
            load_plain(parts[0], key): load_plain(parts[1], part)
            for key, part in plain.items()
        }
    if origin in {types.UnionType, Union}:
        return _build_union(parts, plain)
    raise _mismatch(kind, plain)


def _build_union(parts: tuple[Any, ...], plain: Any) -> Any:
    for part in parts:
        with suppress(WireError):
            return load_plain(part, plain)
    raise _mismatch(parts, plain)


def _build_record(kind: Any, plain: Any) -> Any:
    hints = _get_hints(kind)
    if not isinstance(plain, list) or len(plain) != len(hints):
        raise _mismatch(kind, plain)
    return kind(
        *(
            load_plain(hint, part)
            for hint, part in zip(hints, plain, strict=True)
        )
    )


@cache
def _get_hints(kind: Any) -> tuple[Any, ...]:
    hints = get_type_hints(kind)
    return tuple(hints[name] for name in kind._fields)


def _mismatch(kind: Any, plain: Any) -> WireError:
    name = getattr(kind, '__name__', str(kind))
    return WireError('wire.E002', f'{type(plain).__name__} is no {name}.')


class MessageSet:
    """Know the messages of one protocol by name."""

    def __init__(self, *classes: type) -> None:
        self._classes = {one.__name__: one for one in classes}

    def pack(self, message: Any) -> list[Any]:
        """Give the message with its name, as plain values."""
        name = type(message).__name__
        if name not in self._classes:
            raise WireError('wire.E003', f'{name} is not of this protocol.')
        return [name, dump_plain(message)]

    def unpack(self, plain: Any) -> Any:
        """Build the message, or raise ``wire.E002`` or ``wire.E003``."""
        if not isinstance(plain, list) or len(plain) != _TAGGED_LENGTH:
            raise WireError('wire.E002', 'A message is a name and its fields.')
        name, fields = plain
        if not isinstance(name, str) or name not in self._classes:
            raise WireError('wire.E003', f'{name!r} is not of this protocol.')
        return load_plain(self._classes[name], fields)

    def encode(self, message: Any) -> bytes:
        """Give the message as CBOR."""
        return cbor2.dumps(self.pack(message))

    def decode(self, encoded: bytes) -> Any:
        """Build the message from CBOR, or raise ``WireError``."""
        return self.unpack(load_cbor(encoded))


def load_cbor(encoded: bytes) -> Any:
    """Read one CBOR value, or raise ``wire.E001``."""
    try:
        return cbor2.loads(encoded)
    except (cbor2.CBORError, ValueError, RecursionError) as error:
        raise WireError('wire.E001', f'No CBOR: {error}.') from error
