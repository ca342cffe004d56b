"""Split JSON bodies into their parts without decoding them.

A decoder refuses a whole body for one value that nests too deeply or that no
decoder can read. Split into parts, the other ones stay readable.
"""

import re
from collections.abc import Iterator
from itertools import islice, pairwise

from sardinemast.platform._decoding import decode

_TOKEN = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"'
    rb'|(?P<open>[\[{]+)|(?P<close>[\]}]+)|(?P<comma>,)|(?P<quote>")',
    re.DOTALL,
)
# Bounds the time for which the process does nothing else. A list of 1,900
# instances has some 60,000 tokens.
_TOKENS_MAX = 500_000
_KEY = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:', re.DOTALL)


def split_object(body: bytes) -> dict[str, bytes]:
    """Return the encoded value of each key, or raise ``ValueError``."""
    fields: dict[str, bytes] = {}
    for member in _split(body, b'{'):
        key = _KEY.match(member)
        if key is None:
            raise ValueError('A member of an object has no key.')
        fields[decode(key[1], str)] = member[key.end() :]
    return fields


def split_array(body: bytes) -> list[bytes]:
    """Return the encoded elements, or raise ``ValueError``."""
    return _split(body, b'[')


def _split(body: bytes, opening: bytes) -> list[bytes]:
    """Return what stands between the commas of an array or an object."""
    body = body.strip()
    if not body.startswith(opening):
        raise ValueError('The value has another type.')
    cuts = [0, *_iterate_cuts(body)]
    parts = [body[start + 1 : end] for start, end in pairwise(cuts)]
    return parts if len(parts) > 1 or parts[0].strip() else []


def _iterate_cuts(body: bytes) -> Iterator[int]:
    """Yield the places of the outer commas, then that of the last bracket."""
    depth = 0
    for token in islice(_TOKEN.finditer(body), _TOKENS_MAX):
        depth += _get_depth_change(token)
        if depth == 1 and token.lastgroup == 'comma':
            yield token.start()
        elif depth < 1 and token.end() == len(body):
            yield len(body) - 1
            return
        elif depth < 1 or token.lastgroup == 'quote':
            break
    raise ValueError('The value is truncated, too long or followed by others.')


def _get_depth_change(token: re.Match[bytes]) -> int:
    if token.lastgroup == 'open':
        return len(token[0])
    return -len(token[0]) if token.lastgroup == 'close' else 0
