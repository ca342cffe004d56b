"""Validate a document by itself and against the state."""

from collections.abc import Iterable, Mapping
from typing import Any

from sardinemast.fleet._diff import MAX_CHANGES, DocumentFinding
from sardinemast.fleet._documents import FleetDocument, Pool, Team
from sardinemast.fleet._state import FleetState


def check_document(
    state: FleetState,
    document: FleetDocument,
) -> tuple[DocumentFinding, ...]:
    """Return the findings, at most ``MAX_CHANGES`` of them."""
    findings = (
        *_check_names(document),
        *_check_values(document),
        *_check_overlays(document),
        *_check_teams_with_keys(state, document),
        *_check_pools_with_instances(state, document),
    )
    return findings[:MAX_CHANGES]


def _check_names(document: FleetDocument) -> Iterable[DocumentFinding]:
    groups: Mapping[str, Mapping[str, Any]] = {
        'sites': document.sites,
        'pools': document.pools,
        'teams': document.teams,
        **{
            f'site_pools.{site}': pools
            for site, pools in document.site_pools.items()
        },
    }
    for group, records in groups.items():
        for name, record in records.items():
            if name != record.name or not name:
                yield DocumentFinding(
                    'fleet.E011',
                    f'{group}.{name}',
                    f'The name {record.name!r} is empty or not its key.',
                )


def _check_values(document: FleetDocument) -> Iterable[DocumentFinding]:
    for team in document.teams.values():
        if not _is_valid_team(team):
            yield DocumentFinding(
                'fleet.E012',
                f'teams.{team.name}',
                'The share must be greater than 0, the limit at least 0.',
            )
    for path, pool in _iterate_pools(document):
        if not _is_valid_pool(pool):
            yield DocumentFinding(
                'fleet.E013',
                path,
                'Slots, connections and times must be greater than 0, '
                'limits and budgets at least 0.',
            )


def _check_overlays(document: FleetDocument) -> Iterable[DocumentFinding]:
    for site, pools in document.site_pools.items():
        if site not in document.sites:
            yield DocumentFinding(
                'fleet.E014',
                f'site_pools.{site}',
                f'Site {site!r} does not exist.',
            )
        for name in pools.keys() - document.pools.keys():
            yield DocumentFinding(
                'fleet.E015',
                f'site_pools.{site}.{name}',
                f'Pool {name!r} does not exist.',
            )


def _check_teams_with_keys(
    state: FleetState,
    document: FleetDocument,
) -> Iterable[DocumentFinding]:
    for key in state.keys_by_id.values():
        if key.team not in document.teams:
            yield DocumentFinding(
                'fleet.E016',
                f'teams.{key.team}',
                f'Withdraw key {key.key_id!r} before removing the team.',
            )


def _check_pools_with_instances(
    state: FleetState,
    document: FleetDocument,
) -> Iterable[DocumentFinding]:
    for instance in state.instances.values():
        if instance.pool not in document.pools:
            yield DocumentFinding(
                'fleet.E017',
                f'pools.{instance.pool}',
                f'Move instance {instance.name!r} before removing the pool.',
            )


def _iterate_pools(document: FleetDocument) -> Iterable[tuple[str, Pool]]:
    for pool in document.pools.values():
        yield f'pools.{pool.name}', pool
    for site, pools in document.site_pools.items():
        for pool in pools.values():
            yield f'site_pools.{site}.{pool.name}', pool


def _is_valid_team(team: Team) -> bool:
    return team.share > 0 and team.limit >= 0


def _is_valid_pool(pool: Pool) -> bool:
    positive = (
        pool.slots,
        pool.connections,
        pool.run_bound_s,
        pool.deadline_s,
    )
    return (
        min(positive) > 0 and min(pool.body_limit_bytes, pool.budget_down) >= 0
    )
