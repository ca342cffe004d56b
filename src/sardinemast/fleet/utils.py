"""Helpers of the fleet's state."""

import hashlib


def digest_key(key: str) -> bytes:
    """Give the digest under which a key is stored.

    Keys are made by the command line from 256 random bits, so that a plain
    hash cannot be reversed by guessing.
    """
    return hashlib.sha256(key.encode()).digest()
