"""Lists of handles, as bytes: the steps between them, seven bits a byte."""

from collections.abc import Iterable

_STEP_BITS = 7
_STEP_MASK = 0x7F
_MORE = 0x80


def encode_handles(handles: Iterable[int]) -> bytes:
    """Give the handles as bytes, sorted and each once."""
    encoded = bytearray()
    previous = 0
    for handle in sorted(set(handles)):
        step = handle - previous
        previous = handle
        while step > _STEP_MASK:
            encoded.append(_MORE | step & _STEP_MASK)
            step >>= _STEP_BITS
        encoded.append(step)
    return bytes(encoded)


def decode_handles(encoded: bytes) -> list[int]:
    """Read the handles; a list that is cut off gives what is whole."""
    handles = []
    handle = 0
    step = 0
    shift = 0
    for part in encoded:
        step |= (part & _STEP_MASK) << shift
        shift += _STEP_BITS
        if part & _MORE:
            continue
        handle += step
        handles.append(handle)
        step = 0
        shift = 0
    return handles
