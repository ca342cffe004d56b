"""Catalogs that give queues other names and places."""

from builders.workers import POOL
from sardinemast.jobs import Catalog, Pool, Queue, Team

HOST = 'host'
TEAM = 'breizh'
KEY = 'key-of-breizh'


def make_named_catalog(version: int, **prefixes: str) -> Catalog:
    """Return a catalog with queues of these names and prefixes."""
    queues = tuple(
        Queue(name, HOST, prefix, POOL, timeout_ms=3000, max_attempts=version)
        for name, prefix in prefixes.items()
    )
    return Catalog(version, queues, (Pool(POOL),), (Team(TEAM, (KEY,)),))
