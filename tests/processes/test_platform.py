"""Real processes by the platform's protocol, without its bench."""

import resource
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from builders.platform_fleets import PlatformFleet, make_config

_JOB = '/seats/5c0e7a21d94b36f8'
# Tells, in place of the process itself, whether the signal is ignored, and
# whether libraries were loaded before that.
_SHOW_SIGNAL = """
import runpy, signal, sys, types
run = types.ModuleType('sardinemast.platform._run')
ignored = signal.SIG_IGN
run.main = lambda: print(
    signal.getsignal(signal.SIGHUP) == ignored, 'tornado' in sys.modules
)
sys.modules[run.__name__] = run
runpy.run_module('sardinemast.platform', run_name='__main__')
"""


def _make_chain() -> dict[str, Any]:
    return {
        'spec': 'x',
        'phases': [
            {'count': 3, 'cpu': 500, 'mem_mb': 1},
            {'count': 1, 'cpu': 500, 'deps': [0]},
        ],
    }


def _found(
    fleet: PlatformFleet,
    config: dict[str, Any] | None = None,
) -> None:
    host = fleet.get_controls()[0]
    body = config or make_config()
    fleet.wait_for(200, 'PUT', '/config', body=body, host=host)
    announced = fleet.worker.describe(1)
    path = f'/instances/{fleet.worker.name}'
    fleet.wait_for(200, 'PUT', path, body=announced, host=host)


def test_job_is_run_from_submit_to_end(tmp_path: Path) -> None:
    """A caller submits through the entry, and a worker runs each task once."""
    fleet = PlatformFleet(tmp_path)
    with fleet.run():
        _found(fleet)
        assert (
            fleet.call('POST', _JOB, _make_chain(), key='withdrawn')[0] == 401
        )
        assert fleet.call('POST', '/elsewhere/1', _make_chain())[0] == 404
        assert fleet.call('GET', _JOB)[0] == 410
        fleet.wait_for(200, 'POST', _JOB, body=_make_chain())
        assert fleet.call('POST', _JOB, _make_chain())[0] == 200
        fleet.wait_for_state(_JOB, 'done')
        assert sorted(fleet.worker.starts) == [
            '5c0e7a21d94b36f8.0.0.0',
            '5c0e7a21d94b36f8.0.0.1',
            '5c0e7a21d94b36f8.0.0.2',
            '5c0e7a21d94b36f8.0.1.0',
        ]
        assert fleet.call('GET', '/seats/') == (200, {'pending': 0})
        told = ''.join(map(fleet.read_metrics, fleet.get_controls()))
        assert 'sardinemast_decisions_total{event="run.started"} 4.0' in told
        assert 'sardinemast_is_leader{of=""} 1.0' in told
        assert 'sardinemast_workers{of="booking"} 1.0' in told


def test_queue_with_a_policy_gets_tickets_for_its_starts(
    tmp_path: Path,
) -> None:
    """A queue's policy must allow each worker before its tasks start there.

    Its workers refuse starts without the policy's ticket, and a job for
    which nobody asks never begins.
    """
    config = make_config()
    config['routes'][0]['advice'] = {
        'decide_ms': 20,
        'period_ms': 5,
        'valid_ms': 5000,
    }
    fleet = PlatformFleet(tmp_path)
    with fleet.run():
        _found(fleet, config)
        fleet.wait_for(200, 'POST', _JOB, body=_make_chain())
        fleet.wait_for_state(_JOB, 'done')
        assert sorted(fleet.worker.tickets) == [
            '5c0e7a21d94b36f8.0.0',
            '5c0e7a21d94b36f8.0.1',
        ]
        assert len(fleet.worker.starts) == 4


def test_process_serves_without_its_port_for_metrics(tmp_path: Path) -> None:
    """Another program holds the port for metrics at the entry's address."""
    fleet = PlatformFleet(tmp_path)
    with fleet.hold_metrics_port(), fleet.run():
        _found(fleet)
        fleet.wait_for(200, 'POST', _JOB, body=_make_chain())
        fleet.wait_for_state(_JOB, 'done')


def test_job_outlives_the_process_that_leads(tmp_path: Path) -> None:
    """The leader is killed while a job runs.

    The next one finds the tasks at their worker. Started again, each would
    charge a family twice; forgotten, a child would not be enrolled.
    """
    fleet = PlatformFleet(tmp_path)
    fleet.worker.duration_s = 3
    with fleet.run():
        _found(fleet)
        fleet.wait_for(200, 'POST', _JOB, body=_make_chain())
        fleet.wait_for_state(_JOB, 'running')
        leader = fleet.wait_for_leader()
        fleet.processes.stop(leader, signal.SIGKILL)
        fleet.wait_for(200, 'GET', _JOB)
        fleet.wait_for_state(_JOB, 'done')
        assert len(fleet.worker.starts) == 4


def test_accepted_configuration_outlives_all_processes(tmp_path: Path) -> None:
    """All control processes are killed at once and start again."""
    fleet = PlatformFleet(tmp_path)
    with fleet.run():
        _found(fleet)
        for host in fleet.get_controls():
            fleet.processes.stop(host, signal.SIGKILL)
        for host in fleet.get_controls():
            fleet.start(host)
        read = fleet.wait_for(
            200, 'GET', '/config', host=fleet.get_controls()[2]
        )
        assert read == make_config()


def test_process_lives_on_while_its_disk_refuses(tmp_path: Path) -> None:
    """The disk of a control process is full for some seconds.

    It can be no replica meanwhile. Were it to end each time, nobody could
    call it either, and whoever watches processes would raise an alarm.
    """
    fleet = PlatformFleet(tmp_path)
    with fleet.run():
        _found(fleet)
        host = fleet.get_controls()[1]
        fleet.processes.limit_files(host, 1)
        fleet.wait_for(200, 'POST', _JOB, body=_make_chain())
        fleet.processes.wait_for_log(host, 'Storage is not usable, retrying')
        assert fleet.processes.is_running(host)
        fleet.wait_for(200, 'GET', '/config', host=host)
        fleet.processes.limit_files(host, resource.RLIM_INFINITY)
        fleet.wait_for_state(_JOB, 'done')
        assert fleet.processes.is_running(host)


def test_entry_answers_until_it_stops(tmp_path: Path) -> None:
    """An entry is told to stop, and callers still come for a while."""
    fleet = PlatformFleet(tmp_path)
    with fleet.run():
        _found(fleet)
        fleet.wait_for(410, 'GET', _JOB)
        assert fleet.processes.stop('127.0.0.4') == 0


def test_process_takes_no_harm_from_a_reload_while_it_loads() -> None:
    """Settings change, and their signal comes while a process is starting.

    Nobody would take the signal while the libraries load, and the process
    would end; callers at that entry see their connections refused.
    """
    shown = subprocess.run(
        (sys.executable, '-c', _SHOW_SIGNAL),
        capture_output=True,
        check=True,
        text=True,
    )
    assert shown.stdout.split() == ['True', 'False']
