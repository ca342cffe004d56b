"""Decode JSON bodies into typed values."""

from typing import Any

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


def decode(body: bytes | msgspec.Raw, kind: Any) -> Any:
    """Decode a JSON body, or raise one of ``DECODE_ERRORS``."""
    return msgspec.json.decode(body, type=kind)
