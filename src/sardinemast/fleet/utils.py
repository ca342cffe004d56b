"""Utilities for keys."""

import hashlib


def digest_key(key: str) -> bytes:
    """Return the digest under which a key is stored.

    Keys are 256 random bits, so a plain hash withstands guessing.
    """
    return hashlib.sha256(key.encode()).digest()
