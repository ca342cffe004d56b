"""Decode JSON bodies into typed values."""

from typing import Any

import msgspec

# ``int`` refuses numbers of several thousand digits.
_DIGITS_MAX = 18
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


def decode(body: bytes | msgspec.Raw, kind: Any) -> Any:
    """Decode a JSON body, or raise one of ``DECODE_ERRORS``."""
    return msgspec.json.decode(body, type=kind)


def is_number(text: str) -> bool:
    """Check that a text is a decimal number that ``int`` accepts.

    Other digits of Unicode are either refused by ``int`` or not as written.
    """
    return text.isascii() and text.isdigit() and len(text) <= _DIGITS_MAX
