"""Encode sets of handles as differences in LEB128 variable-length code."""

from collections.abc import Iterable

_PAYLOAD_BITS = 7
_PAYLOAD_MASK = 0x7F
_CONTINUATION_BIT = 0x80


def encode_handles(handles: Iterable[int]) -> bytes:
    """Encode the distinct handles in ascending order."""
    encoded = bytearray()
    previous = 0
    for handle in sorted(set(handles)):
        delta = handle - previous
        previous = handle
        while delta > _PAYLOAD_MASK:
            encoded.append(_CONTINUATION_BIT | delta & _PAYLOAD_MASK)
            delta >>= _PAYLOAD_BITS
        encoded.append(delta)
    return bytes(encoded)


def decode_handles(encoded: bytes) -> list[int]:
    """Decode handles, ignoring an incomplete one at the end."""
    handles = []
    handle = 0
    delta = 0
    shift = 0
    for byte in encoded:
        delta |= (byte & _PAYLOAD_MASK) << shift
        shift += _PAYLOAD_BITS
        if byte & _CONTINUATION_BIT:
            continue
        handle += delta
        handles.append(handle)
        delta = 0
        shift = 0
    return handles
