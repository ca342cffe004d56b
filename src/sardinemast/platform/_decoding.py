"""Decode JSON bodies into typed values."""

from typing import Any

import msgspec

# Integers up to this size are exact as floats, which estimates use.
_NUMBER_MAX = 9_007_199_254_740_992
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


def is_in_range(number: float) -> bool:
    """Check that a number is neither negative nor too large."""
    return 0 <= number <= _NUMBER_MAX


def check_numbers(*numbers: float) -> None:
    """Raise ``ValueError`` for a number that is negative or too large."""
    if not all(map(is_in_range, numbers)):
        raise ValueError('A number is out of range.')
