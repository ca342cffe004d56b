"""Convert typed records to plain values and back.

A ``NamedTuple`` is encoded as the list of its fields. Trailing fields that are
missing have their defaults. A member of a
``MessageSet`` is encoded as a pair of its class name and that list.
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


def _refuse_integer(*_: Any) -> Any:
    raise ValueError('An integer has more than 64 bits.')


# The tags of positive and negative integers of any length (RFC 8949, 3.4.3).
_FRAME_DECODERS = types.MappingProxyType(
    {2: _refuse_integer, 3: _refuse_integer}
)

Loader = Callable[[Any], Any]


def dump_plain(record: Any) -> Any:
    """Convert a record to lists, maps and scalars."""
    if record.__class__ in _PLAIN:
        return record
    if isinstance(record, Enum):
        return record.value
    if isinstance(record, tuple):
        # Most elements are plain values; a call for each took half of the time.
        return [
            element if element.__class__ in _PLAIN else dump_plain(element)
            for element in record
        ]
    if isinstance(record, Mapping):
        return {key: dump_plain(value) for key, value in record.items()}
    return record


def load_plain(value_type: Any, plain: Any) -> Any:
    """Build a value of the given type, or raise ``wire.E002``."""
    return _get_loader(value_type)(plain)


@cache
def _get_loader(value_type: Any) -> Loader:
    # Cached, since inspecting the type for each value was half of the work of
    # the leader of a large fleet.
    if value_type in {Any, types.NoneType}:
        return _load_any if value_type is Any else _load_none
    origin = get_origin(value_type)
    if origin is not None:
        return _make_generic_loader(value_type, origin)
    if value_type in _SCALARS:
        return _make_scalar_loader(value_type)
    if isinstance(value_type, type) and issubclass(value_type, Enum):
        return _make_enum_loader(value_type)
    if isinstance(value_type, type) and issubclass(value_type, tuple):
        return _make_record_loader(value_type)
    return _make_rejecting_loader(value_type)


def _load_any(plain: Any) -> Any:
    return plain


def _load_none(plain: Any) -> None:
    if plain is not None:
        raise _make_mismatch_error(types.NoneType, plain)


def _make_rejecting_loader(value_type: Any) -> Loader:
    def reject(plain: Any) -> Any:
        raise _make_mismatch_error(value_type, plain)

    return reject


def _make_scalar_loader(value_type: type) -> Loader:
    def load(plain: Any) -> Any:
        # An exact check of the class, since bool is a subclass of int.
        if plain.__class__ is value_type:
            return plain
        if value_type is float and plain.__class__ is int:
            with suppress(OverflowError):
                return float(plain)
        raise _make_mismatch_error(value_type, plain)

    return load


def _make_enum_loader(value_type: type[Enum]) -> Loader:
    def load(plain: Any) -> Any:
        try:
            return value_type(plain)
        except ValueError:
            raise _make_mismatch_error(value_type, plain) from None

    return load


def _make_generic_loader(value_type: Any, origin: Any) -> Loader:
    loaders = [
        _get_loader(argument)
        for argument in get_args(value_type)
        if argument is not ...
    ]
    if origin is tuple:
        return _make_sequence_loader(value_type, loaders[0])
    if origin in {dict, Mapping}:
        return _make_mapping_loader(value_type, loaders[0], loaders[1])
    if origin in {types.UnionType, Union}:
        return _make_union_loader(value_type, loaders)
    return _make_rejecting_loader(value_type)


def _make_sequence_loader(value_type: Any, load_element: Loader) -> Loader:
    def load(plain: Any) -> Any:
        if plain.__class__ is not list:
            raise _make_mismatch_error(value_type, plain)
        return tuple(map(load_element, plain))

    return load


def _make_mapping_loader(
    value_type: Any,
    load_key: Loader,
    load_value: Loader,
) -> Loader:
    def load(plain: Any) -> Any:
        if plain.__class__ is not dict:
            raise _make_mismatch_error(value_type, plain)
        return {
            load_key(key): load_value(value) for key, value in plain.items()
        }

    return load


def _make_union_loader(value_type: Any, loaders: list[Loader]) -> Loader:
    def load(plain: Any) -> Any:
        for load_member in loaders:
            with suppress(WireError):
                return load_member(plain)
        raise _make_mismatch_error(value_type, plain)

    return load


def _make_record_loader(value_type: Any) -> Loader:
    hints = get_type_hints(value_type)
    loaders = [_get_loader(hints[name]) for name in value_type._fields]
    required_count = len(loaders) - len(value_type._field_defaults)
    lengths = range(required_count, len(loaders) + 1)

    def load(plain: Any) -> Any:
        # Older versions lack the last fields, which then have their defaults.
        if plain.__class__ is not list or len(plain) not in lengths:
            raise _make_mismatch_error(value_type, plain)
        return value_type(
            *[
                load_field(field)
                for load_field, field in zip(loaders, plain, strict=False)
            ],
        )

    return load


def _make_mismatch_error(value_type: Any, plain: Any) -> WireError:
    name = getattr(value_type, '__name__', str(value_type))
    return WireError(
        'wire.E002', f'{type(plain).__name__} is not a valid {name}.'
    )


class MessageSet:
    """Encode and decode the messages of one protocol, tagged by name."""

    def __init__(self, *classes: type) -> None:
        self._classes = {
            message_class.__name__: message_class for message_class in classes
        }

    def pack(self, message: Any) -> list[Any]:
        """Return the message as a list of its name and its plain fields."""
        name = type(message).__name__
        if name not in self._classes:
            raise WireError(
                'wire.E003', f'{name} is not a message of this protocol.'
            )
        return [name, dump_plain(message)]

    def unpack(self, plain: Any) -> Any:
        """Build a message, or raise ``wire.E002`` or ``wire.E003``."""
        if not isinstance(plain, list) or len(plain) != _TAGGED_LENGTH:
            raise WireError('wire.E002', 'Expected a list of name and fields.')
        name, fields = plain
        if not isinstance(name, str) or name not in self._classes:
            raise WireError(
                'wire.E003', f'{name!r} is not a message of this protocol.'
            )
        return load_plain(self._classes[name], fields)

    def encode(self, message: Any) -> bytes:
        """Encode a message as CBOR."""
        return cbor2.dumps(self.pack(message))

    def decode(self, encoded: bytes) -> Any:
        """Decode a message from CBOR, or raise ``WireError``."""
        return self.unpack(load_cbor(encoded))


def load_cbor(encoded: bytes, *, is_frame: bool = False) -> Any:
    """Decode one CBOR value, or raise ``wire.E001``.

    A frame has no integers beyond 64 bits: those in it come from a stranger,
    and loops and clocks do not expect them. Old logs may have some.
    """
    decoders = _FRAME_DECODERS if is_frame else None
    try:
        return cbor2.loads(encoded, semantic_decoders=decoders)
    except (cbor2.CBORError, ValueError, RecursionError) as error:
        raise WireError('wire.E001', f'Invalid CBOR: {error}.') from error
