"""Questions to the fleet's state that change nothing."""

import hmac
from typing import Any

from sardinemast.fleet._diff import DocumentChange, diff_documents
from sardinemast.fleet._documents import Pool
from sardinemast.fleet._state import FleetState, Grant
from sardinemast.fleet._time_commands import get_version_document
from sardinemast.wire import dump_plain


def find_team_by_key(state: FleetState, digest: bytes) -> str | None:
    """Give the team whose key has the digest."""
    record = state.keys_by_digest.get(digest)
    if record is None or not hmac.compare_digest(record.digest, digest):
        return None
    # Removing a team with keys is refused; should its document be gone all
    # the same, its keys are gone with it.
    return record.team if record.team in state.document.teams else None


def get_pool(state: FleetState, name: str, site: str) -> Pool | None:
    """Give the pool as the site's overlay has it."""
    of_site = state.document.site_pools.get(site, {})
    return of_site.get(name, state.document.pools.get(name))


def get_grants(state: FleetState, team: str) -> tuple[Grant, ...]:
    """Give all grants of the team, whoever holds them."""
    return tuple(grant for grant in state.grants.values() if grant.team == team)


def get_free_limit(state: FleetState, team: str) -> int:
    """Give what may still be granted; negative after a limit went down."""
    declared = state.document.teams.get(team)
    limit = declared.limit if declared else 0
    return limit - sum(grant.amount for grant in get_grants(state, team))


def describe_state(state: FleetState) -> dict[str, Any]:
    """Give the state for operators, without any digest."""
    return {
        'index': state.log_index,
        'version': state.version,
        'sites': _list_records(state.document.sites),
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
                'accepted_s': one.noted_s,
                'command_id': one.command_id,
            }
            for one in state.history.values()
        ],
        'grants': [dump_plain(grant) for grant in state.grants.values()],
    }


def diff_versions(
    state: FleetState,
    before: int,
    after: int,
) -> tuple[DocumentChange, ...] | None:
    """Give what differs between two versions, or nothing where one is gone."""
    old = get_version_document(state, before)
    new = get_version_document(state, after)
    if old is None or new is None:
        return None
    return diff_documents(old, new)


def _list_records(records: Any) -> list[dict[str, Any]]:
    return [record._asdict() for record in records.values()]
