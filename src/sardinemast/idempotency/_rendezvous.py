"""Assign keys to entries by rendezvous hashing (Thaler, Ravishankar)."""

import hashlib
from functools import lru_cache

HOLDERS_PER_KEY = 3
_CACHED_KEYS = 4096


@lru_cache(maxsize=_CACHED_KEYS)
def get_holders(key: bytes, entries: tuple[str, ...]) -> tuple[str, ...]:
    """Return the entries that hold a key.

    Adding an entry replaces at most one holder of each key; all other
    assignments stay the same.
    """
    ranked = sorted(entries, key=lambda name: _get_weight(key, name))
    return tuple(ranked[:HOLDERS_PER_KEY])


def get_quorum(holders: tuple[str, ...]) -> int:
    """Return the size of a majority, so that any two quorums overlap."""
    return len(holders) // 2 + 1


def _get_weight(key: bytes, name: str) -> bytes:
    return hashlib.blake2b(name.encode(), key=key, digest_size=8).digest()
