"""Read-only queries on the fleet's state."""

import hmac
from typing import Any

from sardinemast.fleet._diff import DocumentChange, diff_documents
from sardinemast.fleet._documents import Pool
from sardinemast.fleet._state import FleetState, Grant
from sardinemast.fleet._time_commands import get_version_document
from sardinemast.wire import dump_plain


def find_team_by_key(state: FleetState, digest: bytes) -> str | None:
    """Return the team whose key has the digest."""
    record = state.keys_by_digest.get(digest)
    if record is None or not hmac.compare_digest(record.digest, digest):
        return None
    # A team with keys can't be removed. Should it be missing all the same, its
    # keys must not work.
    return record.team if record.team in state.document.teams else None


def get_pool(state: FleetState, name: str, site: str) -> Pool | None:
    """Return the pool with the changes of the site's overlay."""
    of_site = state.document.site_pools.get(site, {})
    return of_site.get(name, state.document.pools.get(name))


def get_grants(state: FleetState, team: str) -> tuple[Grant, ...]:
    """Return all grants of a team."""
    return tuple(grant for grant in state.grants.values() if grant.team == team)


def get_remaining_limit(state: FleetState, team: str) -> int:
    """Return the ungranted part of a limit, negative if it was lowered."""
    declared = state.document.teams.get(team)
    limit = declared.limit if declared else 0
    return limit - state.granted_totals.get(team, 0)


def describe_state(state: FleetState) -> dict[str, Any]:
    """Return the state for operators, without digests of keys."""
    return {
        'index': state.log_index,
        'version': state.version,
        'sites': _list_records(state.document.sites),
        'data_centres': _list_data_centres(state),
        'pools': _list_records(state.document.pools),
        'teams': _list_records(state.document.teams),
        'keys': [
            {'key_id': record.key_id, 'team': record.team}
            for record in state.keys_by_id.values()
        ],
        'instances': _list_records(state.instances),
        'entries': _list_records(state.entries),
        'versions': [
            {
                'version': one.version,
                'accepted_s': one.accepted_s,
                'command_id': one.command_id,
            }
            for one in state.history.values()
        ],
        'grants': [dump_plain(grant) for grant in state.grants.values()],
    }


def _list_data_centres(state: FleetState) -> list[dict[str, Any]]:
    data_centres = state.subsystems.jobs.data_centres
    return [
        {'name': name, 'is_evacuated': data_centres.is_evacuated(name)}
        for name in sorted(state.data_centres)
    ]


def diff_versions(
    state: FleetState,
    before: int,
    after: int,
) -> tuple[DocumentChange, ...] | None:
    """Return the changes between versions, or None if one was dropped."""
    old = get_version_document(state, before)
    new = get_version_document(state, after)
    if old is None or new is None:
        return None
    return diff_documents(old, new)


def _list_records(records: Any) -> list[dict[str, Any]]:
    return [record._asdict() for record in records.values()]
