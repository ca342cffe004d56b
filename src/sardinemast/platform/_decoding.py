"""Read JSON bodies into typed ones."""

from typing import Any

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


def decode(body: bytes, kind: Any) -> Any:
    """Read a JSON body, or raise ``msgspec.MsgspecError`` or ``ValueError``."""
    return msgspec.json.decode(body, type=kind)
