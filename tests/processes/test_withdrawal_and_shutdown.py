"""Key withdrawal at a paused entry, and shutdown of an upstream."""

import json
import signal
from functools import partial
from pathlib import Path

from builders import Fleet, run_fleet
from builders.processes import call, wait_for
from sardinemast.cli import commands

_BASE = """
sites: {rennes: {region: brittany}}
pools: {enrolment: {}}
teams: {petits-pixels: {limit: 9}}
"""


def _apply_and_grant_key(fleet: Fleet, folder: Path) -> str:
    base = folder / 'base.yaml'
    base.write_text(_BASE)
    wait_for(partial(commands.apply, str(base), controls=fleet.controls))
    for name in fleet.entry_names:
        wait_for(partial(_is_ready, fleet.get_entry_address(name)))
    answer = commands.grant_key('petits-pixels', 'k1', controls=fleet.controls)
    return str(answer['key'])


def _is_ready(address: str) -> bool:
    return call(address, '/-/health').code == 200


def test_paused_entry_refuses_withdrawn_key(tmp_path: Path) -> None:
    """An entry paused during a withdrawal refuses the key when it resumes.

    It must not serve from its outdated list of keys: the operator was told
    that the withdrawal is in force in all entries.
    """
    with run_fleet(tmp_path, entry_count=2) as fleet:
        key = _apply_and_grant_key(fleet, tmp_path)
        fleet.signal('entry-1', signal.SIGSTOP)
        answer = commands.withdraw_key('k1', controls=fleet.controls)
        fleet.signal('entry-1', signal.SIGCONT)
        response = call(fleet.get_entry_address('entry-1'), '/enrolment/', key)
    assert answer['entries_in_force'] == answer['entries_total'] == 2
    code = json.loads(response.body)['code']
    assert code in {'admission.E002', 'admission.E006'}


def test_upstream_shuts_down_gracefully(tmp_path: Path) -> None:
    """An upstream exits with code 0 on SIGTERM.

    Requests that fail during the shutdown are reported as not run.
    """
    with run_fleet(tmp_path, entry_count=1) as fleet:
        key = _apply_and_grant_key(fleet, tmp_path)
        address = fleet.get_entry_address('entry-1')
        fleet.start_upstream('enrol-1')
        wait_for(partial(_is_served, address, key))
        fleet.signal('enrol-1', signal.SIGTERM)
        wait_for(partial(_is_refused, address, key))
        assert fleet.processes['enrol-1'].wait(30) == 0


def _is_served(address: str, key: str) -> bool:
    return call(address, '/enrolment/', key).code == 200


def _is_refused(address: str, key: str) -> bool:
    response = call(
        address,
        '/enrolment/',
        key,
        headers={'Sardinemast-Deadline-S': '0.3'},
    )
    assert json.loads(response.body).get('outcome', 'not run') == 'not run'
    return response.code != 200
