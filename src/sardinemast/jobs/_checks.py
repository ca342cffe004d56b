"""Validate a catalog."""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from sardinemast.jobs._records import Catalog


class CatalogFinding(NamedTuple):
    """Describe an error at a path of a catalog."""

    code: str
    path: str
    text: str


def check_catalog(catalog: Catalog) -> tuple[CatalogFinding, ...]:
    """Return all errors of a catalog."""
    return (
        *_check_queues(catalog),
        *_check_routes(catalog),
        *_check_keys(catalog),
    )


def _check_queues(catalog: Catalog) -> Iterator[CatalogFinding]:
    pools = {pool.name for pool in catalog.pools}
    for queue in catalog.queues:
        path = f'queues.{queue.name}'
        if queue.pool not in pools:
            text = f'Pool {queue.pool!r} does not exist.'
            yield CatalogFinding('jobs.E001', path, text)
        if queue.timeout_ms <= 0:
            text = 'The timeout must be greater than 0.'
            yield CatalogFinding('jobs.E002', path, text)


def _check_routes(catalog: Catalog) -> Iterator[CatalogFinding]:
    places = Counter((one.host, one.prefix) for one in catalog.queues)
    for (host, prefix), found in places.items():
        if found > 1:
            yield CatalogFinding(
                'jobs.E003',
                f'{host}{prefix}',
                f'{found} queues have this host and prefix.',
            )


def _check_keys(catalog: Catalog) -> Iterator[CatalogFinding]:
    holders: dict[str, set[str]] = {}
    for team in catalog.teams:
        for key in team.keys:
            holders.setdefault(key, set()).add(team.name)
    for teams in holders.values():
        if len(teams) > 1:
            yield CatalogFinding(
                'jobs.E004',
                f'teams.{min(teams)}',
                f'Teams {", ".join(sorted(teams))} share a key.',
            )
