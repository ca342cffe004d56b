"""Requests through real processes that are killed, frozen or misbehave."""

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

_CALLERS = 8
_PATIENCE_S = 30
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

_GOOD_ANNOUNCEMENT = make_announcement()._asdict()
_BAD_ANNOUNCEMENTS: tuple[Any, ...] = (
    [],
    'text',
    {},
    {**_GOOD_ANNOUNCEMENT, 'port': 99_999},
    {**_GOOD_ANNOUNCEMENT, 'port': '80'},
    {**_GOOD_ANNOUNCEMENT, 'host': 'upstream.example'},
    {**_GOOD_ANNOUNCEMENT, 'instance': ''},
    {**_GOOD_ANNOUNCEMENT, 'instance': 'x' * 300},
    {**_GOOD_ANNOUNCEMENT, 'status': 'asleep'},
)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Run one control process and three entries."""
    with run_fleet(tmp_path, control_count=1) as running:
        yield running


def _declare(fleet: Fleet) -> str:
    pools = ', '.join(f'{pool}: {{deadline_s: 4}}' for pool in _POOLS)
    base = fleet.folder / 'base.yaml'
    base.write_text(
        'sites: {rennes: {region: brittany}}\n'
        f'pools: {{{pools}}}\n'
        'teams: {petits-pixels: {share: 1, limit: 60}}\n'
    )
    wait_for(lambda: commands.apply(str(base), controls=fleet.controls))
    granted = commands.grant_key(
        'petits-pixels', 'requests', controls=fleet.controls
    )
    return str(granted['key'])


def _start(fleet: Fleet, pool: str, *options: str) -> str:
    port = find_ports(1)[0]
    fleet.start_upstream(
        f'{pool}-1', f'--pool={pool}', f'--port={port}', *options
    )
    return f'127.0.0.1:{port}'


def _wait_until_served(fleet: Fleet, key: str) -> None:
    for name in fleet.entry_names:
        address = fleet.get_entry_address(name)
        wait_for(partial(_is_served, address, key))
        # An entry serves before it has heard the others' keys. If another one
        # is lost in between, both are missed, and keys are refused.
        wait_for(partial(_holds_keys, address))


def _holds_keys(address: str) -> bool:
    return bool(json.loads(call(address, '/-/health').body)['holds_keys'])


def _is_served(address: str, key: str) -> bool:
    return call(address, '/enrolment/up', key).code == HTTPStatus.OK


def _is_unknown(address: str, key: str) -> bool:
    return bool(_get_code(_book(address, key)) == 'idempotency.E006')


def _book(
    address: str, key: str, path: str = '/enrolment/book'
) -> HTTPResponse:
    headers = {'Idempotency-Key': 'seat-7'}
    return call(
        address, path, key, method='POST', body=b'seat 7', headers=headers
    )


def _count_runs(upstream: str, path: str = '/enrolment/book') -> int:
    return int(json.loads(call(upstream, '/-/runs').body).get(path, 0))


def _get_code(response: HTTPResponse) -> Any:
    return json.loads(response.body).get('code')


def test_resend_through_any_entry_runs_once(fleet: Fleet) -> None:
    """A caller sends a booking again through the other entries.

    The answer was lost on the way. Run again, a family pays twice.
    """
    key = _declare(fleet)
    upstream = _start(fleet, 'enrolment')
    _wait_until_served(fleet, key)
    answers = [
        wait_for(partial(_get_served, fleet.get_entry_address(name), key))
        for name in fleet.entry_names
    ]
    assert len({answer.body for answer in answers}) == 1
    assert 'Idempotent-Replayed' in answers[1].headers
    assert _count_runs(upstream) == 1


def _get_served(address: str, key: str) -> HTTPResponse:
    response = _book(address, key)
    if response.code != HTTPStatus.OK:
        raise OSError(f'{address}: {response.code} {response.body!r}')
    return response


def test_entry_killed_between_sent_and_answer(fleet: Fleet) -> None:
    """An entry is killed after it sent a booking and before the answer.

    The caller sees its connection break and sends the booking again to
    another entry. It must not run again.
    """
    key = _declare(fleet)
    upstream = _start(fleet, 'enrolment', '--delay_s=1')
    _wait_until_served(fleet, key)
    with ThreadPoolExecutor() as threads:
        first: Future[HTTPResponse] = threads.submit(
            _book, fleet.get_entry_address('entry-1'), key
        )
        wait_for(lambda: _count_runs(upstream))
        fleet.kill('entry-1')
        resent = _book(fleet.get_entry_address('entry-2'), key)
        assert _get_code(resent) == 'idempotency.E003'
        assert first.exception()
    fleet.start('entry-1')
    for name in fleet.entry_names:
        address = fleet.get_entry_address(name)
        wait_for(partial(_is_unknown, address, key))
    assert _count_runs(upstream) == 1


def test_frozen_entry_stops_no_key(fleet: Fleet) -> None:
    """An entry is frozen; the others go on to tell resends apart."""
    key = _declare(fleet)
    upstream = _start(fleet, 'enrolment')
    _wait_until_served(fleet, key)
    fleet.signal('entry-1', signal.SIGSTOP)
    for name in ('entry-2', 'entry-3'):
        address = fleet.get_entry_address(name)
        wait_for(partial(_get_served, address, key))
    fleet.signal('entry-1', signal.SIGCONT)
    wait_for(lambda: _get_served(fleet.get_entry_address('entry-1'), key))
    assert _count_runs(upstream) == 1


def test_entry_that_has_not_heard_a_frozen_one_holds_no_keys(
    fleet: Fleet,
) -> None:
    """An entry starts anew while another one is frozen.

    It may have held keys that only the frozen one still knows, so it serves
    but has no vote: of three holders one is left, and a booking with a key
    is refused. Whoever restarts entries in turn sees it on the health page.
    """
    key = _declare(fleet)
    _start(fleet, 'enrolment')
    _wait_until_served(fleet, key)
    fleet.kill('entry-3')
    fleet.signal('entry-1', signal.SIGSTOP)
    fleet.start('entry-3')
    address = fleet.get_entry_address('entry-3')
    wait_for(partial(_is_served, address, key))
    assert not _holds_keys(address)
    assert _get_code(_book(address, key)) == 'idempotency.E004'
    fleet.signal('entry-1', signal.SIGCONT)
    wait_for(partial(_holds_keys, address))
    wait_for(partial(_get_served, address, key))


def test_misbehaving_upstreams(fleet: Fleet) -> None:
    """Upstreams break their answers in every way.

    A caller gets the whole answer to its own request or is told what is
    known, and the entry goes on.
    """
    key = _declare(fleet)
    for pool in _POOLS:
        _start(fleet, pool, f'--behaviour={pool}')
    _wait_until_served(fleet, key)
    address = fleet.get_entry_address('entry-1')
    found = {
        pool: wait_for(partial(_ask_known, address, pool, key))
        for pool in _POOLS[1:]
    }
    broken = (502, 'routing.E002')
    assert found == {
        'slow': (200, b'slow'),
        'silent': (504, 'routing.E001'),
        'failing': (500, b'failed'),
        'reset': broken,
        'truncated': broken,
        'crossed': (200, b'whole'),
        'overlong': (200, b'whole'),
        'lengths': broken,
    }
    assert _ask(address, 'crossed', key) == (200, b'whole')


def _ask_known(address: str, pool: str, key: str) -> Any:
    # Until its upstream is announced, a pool refuses for lack of a slot.
    found = _ask(address, pool, key)
    return None if found[1] == 'admission.E008' else found


def _ask(address: str, pool: str, key: str) -> tuple[int, Any]:
    response = call(address, f'/{pool}/x', key, method='POST', body=b'x')
    if 'Sardinemast-Outcome' in response.headers:
        return response.code, _get_code(response)
    return response.code, response.body


def test_connection_that_goes_silent(fleet: Fleet) -> None:
    """Something between forgets its open connections; new ones work.

    A request on such a connection is answered by nobody. One that may be
    repeated is served on a fresh connection before its deadline. A booking
    ends as unknown, and the next one is served: the upstream is not blamed.
    """
    key = _declare(fleet)
    port = find_ports(1)[0]
    with run_relay(port) as relay:
        fleet.start_upstream(
            'enrolment-1', f'--port={port}', f'--announced_port={relay.port}'
        )
        _wait_until_served(fleet, key)
        address = fleet.get_entry_address('entry-1')
        assert _is_served(address, key)
        relay.forget()
        assert _is_served(address, key)
        relay.forget()
        assert _ask(address, 'enrolment', key) == (504, 'routing.E001')
        assert _ask(address, 'enrolment', key)[0] == HTTPStatus.OK


def test_idle_connection_that_went_silent(fleet: Fleet) -> None:
    """A booking does not go out on a connection that was idle for long."""
    key = _declare(fleet)
    port = find_ports(1)[0]
    with run_relay(port) as relay:
        fleet.start_upstream(
            'enrolment-1', f'--port={port}', f'--announced_port={relay.port}'
        )
        _wait_until_served(fleet, key)
        relay.forget()
        time.sleep(MAX_IDLE_S)
        address = fleet.get_entry_address('entry-1')
        assert _ask(address, 'enrolment', key)[0] == HTTPStatus.OK


def test_planned_stop_cuts_no_request(fleet: Fleet) -> None:
    """An entry is stopped under load, as in every maintenance wave.

    Each request gets a whole answer or is told that it was not run and to
    go elsewhere, and the process ends by itself with code 0.
    """
    key = _declare(fleet)
    _start(fleet, 'enrolment', '--delay_s=0.3')
    _wait_until_served(fleet, key)
    address = fleet.get_entry_address('entry-1')
    with ThreadPoolExecutor(_CALLERS) as threads:
        callers = [
            threads.submit(_call_until_refused, address, key)
            for _ in range(_CALLERS)
        ]
        wait_for(lambda: sum(one.running() for one in callers) == _CALLERS)
        wait_for(partial(_is_served, address, key))
        fleet.signal('entry-1', signal.SIGTERM)
        refusals = {caller.result() for caller in callers}
    assert refusals == {('shell.E002', 'not run')}
    assert fleet.processes['entry-1'].wait(_PATIENCE_S) == 0


def _call_until_refused(address: str, key: str) -> tuple[str, str]:
    while True:
        response = call(address, '/enrolment/x', key, method='POST', body=b'x')
        if response.code != HTTPStatus.OK:
            outcome = response.headers['Sardinemast-Outcome']
            return _get_code(response), outcome


def test_bad_input_is_told_apart(fleet: Fleet) -> None:
    """Each mistake gets its own code, and the entry goes on."""
    key = _declare(fleet)
    _start(fleet, 'enrolment')
    _wait_until_served(fleet, key)
    address = fleet.get_entry_address('entry-1')
    large = b'x' * (2 * 1024 * 1024)
    found = {
        'no key': _refuse(address, '/enrolment/x', ''),
        'other key': _refuse(address, '/enrolment/x', 'wrong'),
        'no service': _refuse(address, '/nothing/x', key),
        'large': _refuse(address, '/enrolment/x', key, body=large),
        'past': _refuse(address, '/enrolment/x', key, deadline='-1'),
        'nan': _refuse(address, '/enrolment/x', key, deadline='nan'),
        'empty idempotency key': _refuse(
            address, '/enrolment/x', key, headers={'Idempotency-Key': ' '}
        ),
    }
    assert found == {
        'no key': 'admission.E001',
        'other key': 'admission.E002',
        'no service': 'admission.E003',
        'large': 'admission.E004',
        'past': 'admission.E005',
        'nan': 'admission.E009',
        'empty idempotency key': 'idempotency.E001',
    }
    for announced in _BAD_ANNOUNCEMENTS:
        response = call(
            address, '/-/announce', method='POST', body=json.dumps(announced)
        )
        assert _get_code(response) == 'membership.E001'
    assert _is_served(address, key)


def _refuse(
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
