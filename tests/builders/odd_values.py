"""Values of other writers that are hard to decode."""

import json

# Half of a character, which cannot be encoded in UTF-8.
LONE_SURROGATE = json.dumps('\ud800').encode()

# None of them is a number that starts at 1.
NUMBERS = (
    b'1' * 400,
    b'1' * 4200,
    b'1' * 5000,
    b'9007199254740993',
    b'18446744073709551616',
    b'1e400',
    b'-1e400',
    b'NaN',
    b'Infinity',
    b'-1',
    b'0',
    b'1e300',
    b'1.5',
    b'true',
    b'null',
    b'"1"',
)


def make_nested(levels: int) -> bytes:
    """Return an array that contains only another one, and so on."""
    return b'[' * levels + b']' * levels


def encode_object(fields: dict[str, bytes]) -> bytes:
    """Return an object whose values are encoded already."""
    members = [b'"%b":%b' % (key.encode(), one) for key, one in fields.items()]
    return b'{%b}' % b','.join(members)
