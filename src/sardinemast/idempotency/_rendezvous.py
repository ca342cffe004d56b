"""Which entries hold a key, by rendezvous hashing (Thaler, Ravishankar)."""

import hashlib
from functools import lru_cache

HOLDERS = 3
_CACHED_KEYS = 4096


@lru_cache(maxsize=_CACHED_KEYS)
def get_holders(key: bytes, entries: tuple[str, ...]) -> tuple[str, ...]:
    """Give the entries that hold a key.

    An entry that is added takes the place of one holder of some keys, and
    leaves all other places as they are.
    """
    ranked = sorted(entries, key=lambda name: _get_weight(key, name))
    return tuple(ranked[:HOLDERS])


def get_quorum(holders: tuple[str, ...]) -> int:
    """Give how many holders make any two groups of them overlap."""
    return len(holders) // 2 + 1


def _get_weight(key: bytes, name: str) -> bytes:
    return hashlib.blake2b(name.encode(), key=key, digest_size=8).digest()
