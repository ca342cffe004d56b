"""Requests while entries or upstreams fail, pause or shut down."""

import json
import signal
import time
from collections.abc import Iterator, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from http import HTTPStatus
from pathlib import Path
from typing import Any

import pytest
from tornado.httpclient import HTTPResponse

from builders import Fleet, make_announcement, run_fleet
from builders.lossy_relays import run_relay
from builders.processes import call, find_ports, wait_for
from sardinemast.cli import commands
from sardinemast.shell._connection_pool import MAX_IDLE_S

_CALLER_COUNT = 8
_EXIT_TIMEOUT_S = 30
_POOLS = (
    'enrolment',
    'slow',
    'silent',
    'failing',
    'reset',
    'truncated',
    'crossed',
    'overlong',
    'lengths',
)

_VALID_ANNOUNCEMENT = make_announcement()._asdict()
_INVALID_ANNOUNCEMENTS: tuple[Any, ...] = (
    [],
    'text',
    {},
    {**_VALID_ANNOUNCEMENT, 'port': 99_999},
    {**_VALID_ANNOUNCEMENT, 'port': '80'},
    {**_VALID_ANNOUNCEMENT, 'host': 'upstream.example'},
    {**_VALID_ANNOUNCEMENT, 'instance': ''},
    {**_VALID_ANNOUNCEMENT, 'instance': 'x' * 300},
    {**_VALID_ANNOUNCEMENT, 'status': 'asleep'},
)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Run one control process and three entries."""
    with run_fleet(tmp_path, control_count=1) as running:
        yield running


def _apply_and_grant_key(fleet: Fleet) -> str:
    pools = ', '.join(f'{pool}: {{deadline_s: 4}}' for pool in _POOLS)
    base = fleet.folder / 'base.yaml'
    base.write_text(
        'sites: {rennes: {region: brittany}}\n'
        f'pools: {{{pools}}}\n'
        'teams: {petits-pixels: {share: 1, limit: 60}}\n'
    )
    wait_for(lambda: commands.apply(str(base), controls=fleet.controls))
    grant = commands.grant_key(
        'petits-pixels', 'requests', controls=fleet.controls
    )
    return str(grant['key'])


def _start_upstream(fleet: Fleet, pool: str, *options: str) -> str:
    port = find_ports(1)[0]
    fleet.start_upstream(
        f'{pool}-1', f'--pool={pool}', f'--port={port}', *options
    )
    return f'127.0.0.1:{port}'


def _wait_until_ready(fleet: Fleet, key: str) -> None:
    for name in fleet.entry_names:
        address = fleet.get_entry_address(name)
        wait_for(partial(_is_served, address, key))
        # An entry serves before it has received the idempotency keys of the
        # others. If another holder of keys failed meanwhile, too few would be
        # left, and requests with keys would be refused.
        wait_for(partial(_holds_keys, address))


def _holds_keys(address: str) -> bool:
    return bool(json.loads(call(address, '/-/health').body)['holds_keys'])


def _is_served(address: str, key: str) -> bool:
    return call(address, '/enrolment/up', key).code == HTTPStatus.OK


def _has_unknown_outcome(address: str, key: str) -> bool:
    return bool(_get_code(_book(address, key)) == 'idempotency.E006')


def _book(
    address: str, key: str, path: str = '/enrolment/book'
) -> HTTPResponse:
    headers = {'Idempotency-Key': 'seat-7'}
    return call(
        address, path, key, method='POST', body=b'seat 7', headers=headers
    )


def _count_requests(upstream: str, path: str = '/enrolment/book') -> int:
    return int(json.loads(call(upstream, '/-/runs').body).get(path, 0))


def _get_code(response: HTTPResponse) -> Any:
    return json.loads(response.body).get('code')


def test_resent_request_runs_once(fleet: Fleet) -> None:
    """A booking resent through other entries runs once."""
    key = _apply_and_grant_key(fleet)
    upstream = _start_upstream(fleet, 'enrolment')
    _wait_until_ready(fleet, key)
    responses = [
        wait_for(partial(_book_or_raise, fleet.get_entry_address(name), key))
        for name in fleet.entry_names
    ]
    assert len({response.body for response in responses}) == 1
    assert 'Idempotent-Replayed' in responses[1].headers
    assert _count_requests(upstream) == 1


def _book_or_raise(address: str, key: str) -> HTTPResponse:
    response = _book(address, key)
    if response.code != HTTPStatus.OK:
        raise OSError(f'{address}: {response.code} {response.body!r}')
    return response


def test_entry_killed_before_response(fleet: Fleet) -> None:
    """An entry is killed while an upstream processes its request.

    The booking does not run again when the caller resends it through another
    entry.
    """
    key = _apply_and_grant_key(fleet)
    upstream = _start_upstream(fleet, 'enrolment', '--delay_s=1')
    _wait_until_ready(fleet, key)
    with ThreadPoolExecutor() as threads:
        first_attempt: Future[HTTPResponse] = threads.submit(
            _book, fleet.get_entry_address('entry-1'), key
        )
        wait_for(lambda: _count_requests(upstream))
        fleet.kill('entry-1')
        resent = _book(fleet.get_entry_address('entry-2'), key)
        assert _get_code(resent) == 'idempotency.E003'
        assert first_attempt.exception()
    fleet.start('entry-1')
    for name in fleet.entry_names:
        address = fleet.get_entry_address(name)
        wait_for(partial(_has_unknown_outcome, address, key))
    assert _count_requests(upstream) == 1


def test_paused_entry_blocks_no_keys(fleet: Fleet) -> None:
    """The other entries recognize resent requests while one is paused."""
    key = _apply_and_grant_key(fleet)
    upstream = _start_upstream(fleet, 'enrolment')
    _wait_until_ready(fleet, key)
    fleet.signal('entry-1', signal.SIGSTOP)
    for name in ('entry-2', 'entry-3'):
        address = fleet.get_entry_address(name)
        wait_for(partial(_book_or_raise, address, key))
    fleet.signal('entry-1', signal.SIGCONT)
    wait_for(lambda: _book_or_raise(fleet.get_entry_address('entry-1'), key))
    assert _count_requests(upstream) == 1


def test_restarted_entry_waits_for_paused_holder(fleet: Fleet) -> None:
    """An entry restarted while another one is paused cannot hold keys yet.

    Keys that it held before may now be known to the paused entry alone. One
    holder of three remains: requests with an idempotency key are refused,
    others are served.
    """
    key = _apply_and_grant_key(fleet)
    _start_upstream(fleet, 'enrolment')
    _wait_until_ready(fleet, key)
    fleet.kill('entry-3')
    fleet.signal('entry-1', signal.SIGSTOP)
    fleet.start('entry-3')
    address = fleet.get_entry_address('entry-3')
    wait_for(partial(_is_served, address, key))
    assert not _holds_keys(address)
    assert _get_code(_book(address, key)) == 'idempotency.E004'
    fleet.signal('entry-1', signal.SIGCONT)
    wait_for(partial(_holds_keys, address))
    wait_for(partial(_book_or_raise, address, key))


def test_faulty_upstreams(fleet: Fleet) -> None:
    """Faulty upstreams cause no mixed-up or truncated responses.

    Callers get the complete response to their own request, or an error.
    """
    key = _apply_and_grant_key(fleet)
    for pool in _POOLS:
        _start_upstream(fleet, pool, f'--behaviour={pool}')
    _wait_until_ready(fleet, key)
    address = fleet.get_entry_address('entry-1')
    responses = {
        pool: wait_for(partial(_post_once_announced, address, pool, key))
        for pool in _POOLS[1:]
    }
    bad_gateway = (502, 'routing.E002')
    assert responses == {
        'slow': (200, b'slow'),
        'silent': (504, 'routing.E001'),
        'failing': (500, b'failed'),
        'reset': bad_gateway,
        'truncated': bad_gateway,
        'crossed': (200, b'whole'),
        'overlong': (200, b'whole'),
        'lengths': bad_gateway,
    }
    assert _post(address, 'crossed', key) == (200, b'whole')


def _post_once_announced(address: str, pool: str, key: str) -> Any:
    # A pool has no slots until its upstream is announced.
    response = _post(address, pool, key)
    return None if response[1] == 'admission.E008' else response


def _post(address: str, pool: str, key: str) -> tuple[int, Any]:
    response = call(address, f'/{pool}/x', key, method='POST', body=b'x')
    if 'Sardinemast-Outcome' in response.headers:
        return response.code, _get_code(response)
    return response.code, response.body


def test_silently_dropped_connection(fleet: Fleet) -> None:
    """A firewall silently drops open connections; new ones work.

    A request that is safe to repeat is retried on a new connection before its
    deadline. A booking ends with an unknown outcome, and the upstream stays
    in use.
    """
    key = _apply_and_grant_key(fleet)
    port = find_ports(1)[0]
    with run_relay(port) as relay:
        fleet.start_upstream(
            'enrolment-1', f'--port={port}', f'--announced_port={relay.port}'
        )
        _wait_until_ready(fleet, key)
        address = fleet.get_entry_address('entry-1')
        assert _is_served(address, key)
        relay.forget()
        assert _is_served(address, key)
        relay.forget()
        assert _post(address, 'enrolment', key) == (504, 'routing.E001')
        assert _post(address, 'enrolment', key)[0] == HTTPStatus.OK


def test_silently_dropped_idle_connection(fleet: Fleet) -> None:
    """No request is sent on a connection that was idle for too long."""
    key = _apply_and_grant_key(fleet)
    port = find_ports(1)[0]
    with run_relay(port) as relay:
        fleet.start_upstream(
            'enrolment-1', f'--port={port}', f'--announced_port={relay.port}'
        )
        _wait_until_ready(fleet, key)
        relay.forget()
        time.sleep(MAX_IDLE_S)
        address = fleet.get_entry_address('entry-1')
        assert _post(address, 'enrolment', key)[0] == HTTPStatus.OK


def test_graceful_shutdown_completes_requests(fleet: Fleet) -> None:
    """An entry under load completes its requests on SIGTERM.

    It refuses later ones as not run and exits with code 0.
    """
    key = _apply_and_grant_key(fleet)
    _start_upstream(fleet, 'enrolment', '--delay_s=0.3')
    _wait_until_ready(fleet, key)
    address = fleet.get_entry_address('entry-1')
    with ThreadPoolExecutor(_CALLER_COUNT) as threads:
        callers = [
            threads.submit(_call_until_refused, address, key)
            for _ in range(_CALLER_COUNT)
        ]
        wait_for(
            lambda: sum(future.running() for future in callers) == _CALLER_COUNT
        )
        wait_for(partial(_is_served, address, key))
        fleet.signal('entry-1', signal.SIGTERM)
        refusals = {caller.result() for caller in callers}
    assert refusals == {('shell.E002', 'not run')}
    assert fleet.processes['entry-1'].wait(_EXIT_TIMEOUT_S) == 0


def _call_until_refused(address: str, key: str) -> tuple[str, str]:
    while True:
        response = call(address, '/enrolment/x', key, method='POST', body=b'x')
        if response.code != HTTPStatus.OK:
            outcome = response.headers['Sardinemast-Outcome']
            return _get_code(response), outcome


def test_invalid_input_has_distinct_codes(fleet: Fleet) -> None:
    """Each kind of invalid input gets its own code."""
    key = _apply_and_grant_key(fleet)
    _start_upstream(fleet, 'enrolment')
    _wait_until_ready(fleet, key)
    address = fleet.get_entry_address('entry-1')
    oversized_body = b'x' * (2 * 1024 * 1024)
    codes = {
        'no key': _get_refusal_code(address, '/enrolment/x', ''),
        'other key': _get_refusal_code(address, '/enrolment/x', 'wrong'),
        'no service': _get_refusal_code(address, '/nothing/x', key),
        'large': _get_refusal_code(
            address, '/enrolment/x', key, body=oversized_body
        ),
        'past': _get_refusal_code(address, '/enrolment/x', key, deadline='-1'),
        'nan': _get_refusal_code(address, '/enrolment/x', key, deadline='nan'),
        'empty idempotency key': _get_refusal_code(
            address, '/enrolment/x', key, headers={'Idempotency-Key': ' '}
        ),
    }
    assert codes == {
        'no key': 'admission.E001',
        'other key': 'admission.E002',
        'no service': 'admission.E003',
        'large': 'admission.E004',
        'past': 'admission.E005',
        'nan': 'admission.E009',
        'empty idempotency key': 'idempotency.E001',
    }
    for announcement in _INVALID_ANNOUNCEMENTS:
        response = call(
            address, '/-/announce', method='POST', body=json.dumps(announcement)
        )
        assert _get_code(response) == 'membership.E001'
    assert _is_served(address, key)


def _get_refusal_code(
    address: str,
    path: str,
    key: str,
    body: bytes = b'x',
    deadline: str = '2',
    headers: Mapping[str, str] | None = None,
) -> Any:
    headers = {**(headers or {}), 'Sardinemast-Deadline-S': deadline}
    response = call(
        address, path, key, method='POST', body=body, headers=headers
    )
    assert response.headers['Sardinemast-Outcome'] == 'not run'
    return _get_code(response)
