"""Checks of a request before it is queued."""

from http import HTTPStatus
from typing import NamedTuple

from sardinemast.admission._refusals import Refusal, refuse_not_run
from sardinemast.fleet import FleetState, find_team_by_key, get_pool

_RETRY_AFTER_S = 1.0


class Arrival(NamedTuple):
    """Describe an incoming request.

    The key itself never enters the core, so that no event, log or dump can
    reveal it; an empty digest means that no key was sent. ``deadline_s`` is
    the time left as the caller asks, or None for the pool's default. An urgent
    request precedes only other requests of its own team.
    """

    request_id: int
    pool: str
    key_digest: bytes
    is_repeatable: bool
    deadline_s: float | None
    body_bytes: int
    is_urgent: bool = False


class Admission(NamedTuple):
    """Hold the team that a request runs for and its deadline."""

    team: str
    due_s: float


def check_arrival(
    state: FleetState,
    site: str,
    arrival: Arrival,
    now_s: float,
) -> Admission | Refusal:
    """Return the team and the deadline, or a refusal."""
    if not arrival.key_digest:
        return refuse_not_run(
            'admission.E001',
            HTTPStatus.UNAUTHORIZED,
            'Send the key of your team as "Authorization: Bearer KEY".',
        )
    team = find_team_by_key(state, arrival.key_digest)
    if team is None or team not in state.document.teams:
        return refuse_not_run(
            'admission.E002',
            HTTPStatus.UNAUTHORIZED,
            'The key is unknown or withdrawn. Ask an operator for a new one.',
        )
    pool = get_pool(state, arrival.pool, site)
    if pool is None:
        return refuse_not_run(
            'admission.E003',
            HTTPStatus.NOT_FOUND,
            'The service does not exist. Check the first part of the path.',
        )
    if arrival.body_bytes > pool.body_limit_bytes:
        return refuse_not_run(
            'admission.E004',
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'The body exceeds {pool.body_limit_bytes} bytes. Send less.',
        )
    timeout_s = arrival.deadline_s
    if timeout_s is None:
        timeout_s = pool.deadline_s
    if timeout_s <= 0:
        return refuse_not_run(
            'admission.E005',
            HTTPStatus.GATEWAY_TIMEOUT,
            'The deadline has passed. Send one in the future.',
        )
    return Admission(team, now_s + timeout_s)


def refuse_without_lease() -> Refusal:
    """Refuse a request because this entry has no lease."""
    return refuse_not_run(
        'admission.E006',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'This entry has no lease. Retry; the balancer picks another entry.',
        _RETRY_AFTER_S,
    )
