"""Checks that a request passes before it may wait or run."""

from http import HTTPStatus
from typing import NamedTuple

from sardinemast.admission._refusals import Refusal, refuse_not_run
from sardinemast.fleet import FleetState, find_team_by_key, get_pool

_COME_BACK_S = 1.0


class Arrival(NamedTuple):
    """Hold what the entry needs to know of a request.

    The key itself stays outside the core, so that no event, log or dump of
    state can hold it; an empty digest means that no key was sent.
    ``deadline_s`` is the time left in seconds as the caller asks, or nothing
    for the pool's default. An urgent request goes ahead of its own team's other
    requests, and of no other team's.
    """

    request_id: int
    pool: str
    key_digest: bytes
    is_repeatable: bool
    deadline_s: float | None
    body_bytes: int
    is_urgent: bool = False


class Admission(NamedTuple):
    """Hold the team that a request runs for and when it is due."""

    team: str
    due_s: float


def check_arrival(
    state: FleetState,
    site: str,
    arrival: Arrival,
    now_s: float,
) -> Admission | Refusal:
    """Find the team and the deadline, or say what is wrong."""
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
            'No service of this name. Check the first part of the path.',
        )
    if arrival.body_bytes > pool.body_limit_bytes:
        return refuse_not_run(
            'admission.E004',
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'The body is over {pool.body_limit_bytes} bytes. Send less.',
        )
    left_s = arrival.deadline_s
    if left_s is None:
        left_s = pool.deadline_s
    if left_s <= 0:
        return refuse_not_run(
            'admission.E005',
            HTTPStatus.GATEWAY_TIMEOUT,
            'The deadline has passed. Send one that lies ahead.',
        )
    return Admission(team, now_s + left_s)


def refuse_without_lease() -> Refusal:
    """Refuse because this entry may be cut off from the control processes."""
    return refuse_not_run(
        'admission.E006',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'This entry has no lease. Try again; the balancer picks another.',
        _COME_BACK_S,
    )
