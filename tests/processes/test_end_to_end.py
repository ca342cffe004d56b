"""End-to-end tests with real processes on loopback."""

import json
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest

from builders import Fleet, run_fleet
from builders.processes import call, settle, wait_for
from sardinemast.cli import commands, queries
from sardinemast.cli.exceptions import CliError

_BASE = """
sites: {rennes: {region: brittany}}
pools: {enrolment: {slots: 8}}
teams: {petits-pixels: {share: 1, limit: 9}}
"""


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run three control processes, three entries and two upstreams."""
    folder = tmp_path_factory.mktemp('fleet')
    with run_fleet(folder) as running:
        running.start_upstream('enrol-1')
        running.start_upstream('enrol-2')
        _apply(running, folder)
        running.wait_until_serving()
        yield running


def _apply(fleet: Fleet, folder: Path) -> None:
    base = folder / 'base.yaml'
    base.write_text(_BASE)
    wait_for(lambda: commands.apply(str(base), controls=fleet.controls))
    for name in fleet.entry_names:
        wait_for(partial(_is_ready, fleet.get_entry_address(name)))


def _is_ready(address: str) -> bool:
    return call(address, '/-/health').code == 200


def _grant(fleet: Fleet, key_id: str) -> str:
    answer = commands.grant_key(
        'petits-pixels',
        key_id,
        controls=fleet.controls,
    )
    return str(answer['key'])


def test_each_entry_serves(fleet: Fleet) -> None:
    """Each entry forwards requests to an upstream."""
    key = _grant(fleet, 'any-entry')
    for name in fleet.entry_names:
        address = fleet.get_entry_address(name)
        response = wait_for(partial(_get_roster, address, key))
        assert json.loads(response.body)['uri'] == '/enrolment/roster?day=6'


def _get_roster(address: str, key: str) -> object:
    response = call(address, '/enrolment/roster?day=6', key)
    return response if response.code == 200 else None


def test_withdrawn_key_is_refused_by_all_entries(fleet: Fleet) -> None:
    """No entry accepts a key once its withdrawal is confirmed."""
    key = _grant(fleet, 'withdrawn')
    answer = commands.withdraw_key('withdrawn', controls=fleet.controls)
    assert answer['entries_in_force'] == answer['entries_total']
    for name in fleet.entry_names:
        response = call(fleet.get_entry_address(name), '/enrolment/roster', key)
        assert json.loads(response.body)['code'] == 'admission.E002'


def test_evacuated_data_centre_gets_no_requests(fleet: Fleet) -> None:
    """No entry sends a request to an evacuated data centre."""
    key = _grant(fleet, 'evacuated')
    address = fleet.get_entry_address(fleet.entry_names[0])
    wait_for(partial(_get_roster, address, key))
    answer = commands.evacuate('rennes', controls=fleet.controls)
    assert answer['entries_in_force'] == answer['entries_total']
    shown = queries.show(fleet.controls)['data_centres']
    assert shown == [{'name': 'rennes', 'is_evacuated': True}]
    assert _get_roster(address, key) is None
    commands.readmit('rennes', controls=fleet.controls)
    wait_for(partial(_get_roster, address, key))


def test_unknown_data_centre_is_not_evacuated(fleet: Fleet) -> None:
    """Refuse a mistyped name with a code, so that nobody relies on it."""
    with pytest.raises(CliError) as refusal:
        commands.evacuate('rennse', controls=fleet.controls)
    assert refusal.value.code == 'fleet.E018'


def test_events_of_all_processes_are_merged(fleet: Fleet) -> None:
    """The timeline includes events of control processes and entries."""
    addresses = f'{fleet.controls},{fleet.entries}'.split(',')
    assert 'role=leader' in queries.timeline(*addresses)


def test_latencies_of_entries_are_merged(fleet: Fleet) -> None:
    """Requests of a team through two entries are counted together."""
    key = _grant(fleet, 'measured')
    addresses = [
        fleet.get_entry_address(name) for name in fleet.entry_names[:2]
    ]
    for address in addresses:
        wait_for(partial(_get_roster, address, key))
    latencies = queries.latencies(*addresses)['latencies']
    by_name = {(one['dimension'], one['name']): one for one in latencies}
    assert by_name['team', 'petits-pixels']['requests'] >= 2
    assert ('service', 'enrolment') in by_name
    metrics = call(addresses[0], '/-/metrics').body.decode()
    assert 'sardinemast_answers_total{code="answered"}' in metrics


def test_earlier_version_is_restored(fleet: Fleet, tmp_path: Path) -> None:
    """Restoring a version creates a new one without differences.

    A starved leader may lose its term during a command, whose outcome is then
    unknown; sent again with its id, it takes effect once.
    """
    base = tmp_path / 'base.yaml'
    base.write_text(_BASE.replace('limit: 9', 'limit: 8'))
    first = queries.show(fleet.controls)['version']
    options = {'controls': fleet.controls}
    settle(commands.apply, str(base), command_id='lower', **options)
    changes = queries.diff(first, first + 1, fleet.controls)['changes']
    assert [one['path'] for one in changes] == ['teams.petits-pixels.limit']
    settle(commands.restore, first, command_id='restore', **options)
    remaining = queries.diff(first, first + 2, fleet.controls)['changes']
    assert remaining == []
