"""Turn typed records into plain values and back.

A ``NamedTuple`` becomes a list of its fields. A member of a ``MessageSet``
becomes a pair of its class name and that list, so that the reader knows which
class to build.
"""

import types
from collections.abc import Callable, Mapping
from contextlib import suppress
from enum import Enum
from functools import cache
from typing import Any, Union, get_args, get_origin, get_type_hints

import cbor2

from sardinemast.wire.exceptions import WireError

_TAGGED_LENGTH = 2
_SCALARS = frozenset((int, float, str, bytes, bool))
_PLAIN = frozenset((*_SCALARS, types.NoneType))

Loader = Callable[[Any], Any]


def dump_plain(record: Any) -> Any:
    """Give the record as lists, maps and scalars."""
    if record.__class__ in _PLAIN:
        return record
    if isinstance(record, Enum):
        return record.value
    if isinstance(record, tuple):
        # Most parts are plain; a call for each took half of the time.
        return [
            part if part.__class__ in _PLAIN else dump_plain(part)
            for part in record
        ]
    if isinstance(record, Mapping):
        return {key: dump_plain(part) for key, part in record.items()}
    return record


def load_plain(kind: Any, plain: Any) -> Any:
    """Build a value of the kind, or raise ``wire.E002``."""
    return _get_loader(kind)(plain)


@cache
def _get_loader(kind: Any) -> Loader:
    # The kind is looked into once; a look at each value of each message was
    # half of what a leader spent on a large fleet.
    if kind in {Any, types.NoneType}:
        return _keep if kind is Any else _load_nothing
    origin = get_origin(kind)
    if origin is not None:
        return _make_generic_loader(kind, origin)
    if kind in _SCALARS:
        return _make_scalar_loader(kind)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return _make_enum_loader(kind)
    if isinstance(kind, type) and issubclass(kind, tuple):
        return _make_record_loader(kind)
    return _make_refuser(kind)


def _keep(plain: Any) -> Any:
    return plain


def _load_nothing(plain: Any) -> None:
    if plain is not None:
        raise _mismatch(types.NoneType, plain)


def _make_refuser(kind: Any) -> Loader:
    def refuse(plain: Any) -> Any:
        raise _mismatch(kind, plain)

    return refuse


def _make_scalar_loader(kind: type) -> Loader:
    def load(plain: Any) -> Any:
        # A bool is an int to the language, but never where a number is meant.
        if plain.__class__ is kind:
            return plain
        if kind is float and plain.__class__ is int:
            return float(plain)
        raise _mismatch(kind, plain)

    return load


def _make_enum_loader(kind: type[Enum]) -> Loader:
    def load(plain: Any) -> Any:
        try:
            return kind(plain)
        except ValueError:
            raise _mismatch(kind, plain) from None

    return load


def _make_generic_loader(kind: Any, origin: Any) -> Loader:
    loaders = [_get_loader(part) for part in get_args(kind) if part is not ...]
    if origin is tuple:
        return _make_sequence_loader(kind, loaders[0])
    if origin in {dict, Mapping}:
        return _make_mapping_loader(kind, loaders[0], loaders[1])
    if origin in {types.UnionType, Union}:
        return _make_union_loader(kind, loaders)
    return _make_refuser(kind)


def _make_sequence_loader(kind: Any, load_part: Loader) -> Loader:
    def load(plain: Any) -> Any:
        if plain.__class__ is not list:
            raise _mismatch(kind, plain)
        return tuple(map(load_part, plain))

    return load


def _make_mapping_loader(
    kind: Any,
    load_key: Loader,
    load_part: Loader,
) -> Loader:
    def load(plain: Any) -> Any:
        if plain.__class__ is not dict:
            raise _mismatch(kind, plain)
        return {load_key(key): load_part(part) for key, part in plain.items()}

    return load


def _make_union_loader(kind: Any, loaders: list[Loader]) -> Loader:
    def load(plain: Any) -> Any:
        for load_part in loaders:
            with suppress(WireError):
                return load_part(plain)
        raise _mismatch(kind, plain)

    return load


def _make_record_loader(kind: Any) -> Loader:
    hints = get_type_hints(kind)
    loaders = [_get_loader(hints[name]) for name in kind._fields]

    def load(plain: Any) -> Any:
        if plain.__class__ is not list or len(plain) != len(loaders):
            raise _mismatch(kind, plain)
        return kind(
            *[
                load_part(part)
                for load_part, part in zip(loaders, plain, strict=True)
            ],
        )

    return load


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
