"""Values of other writers that are hard to decode."""

import json

# Half of a character, which cannot be encoded in UTF-8.
LONE_SURROGATE = json.dumps('\ud800').encode()


def make_nested(levels: int) -> bytes:
    """Return an array that contains only another one, and so on."""
    return b'[' * levels + b']' * levels
