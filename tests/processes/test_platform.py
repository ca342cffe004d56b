"""Processes that speak the platform's protocol, with a stand-in worker."""

import resource
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from builders.platform_fleets import PlatformFleet, make_config

# By then a worker that may be used has long got its tasks.
_SETTLE_S = 3.0
_JOB_PATH = '/seats/5c0e7a21d94b36f8'
# Replaces the main function by one that prints whether SIGHUP is ignored and
# whether Tornado is already imported.
_PRINT_SIGNAL_STATE = """
import runpy, signal, sys, types
run = types.ModuleType('sardinemast.platform._run')
ignored = signal.SIG_IGN
run.main = lambda: print(
    signal.getsignal(signal.SIGHUP) == ignored, 'tornado' in sys.modules
)
sys.modules[run.__name__] = run
runpy.run_module('sardinemast.platform', run_name='__main__')
"""


def _make_job() -> dict[str, Any]:
    return {
        'spec': 'x',
        'phases': [
            {'count': 3, 'cpu': 500, 'mem_mb': 1},
            {'count': 1, 'cpu': 500, 'deps': [0]},
        ],
    }


def _configure(
    fleet: PlatformFleet,
    config: dict[str, Any] | None = None,
) -> None:
    host = fleet.get_controls()[0]
    body = config or make_config()
    fleet.wait_for(200, 'PUT', '/config', body=body, host=host)
    announcement = fleet.worker.describe(1)
    path = f'/instances/{fleet.worker.name}'
    fleet.wait_for(200, 'PUT', path, body=announcement, host=host)


def test_job_runs_to_completion(tmp_path: Path) -> None:
    """A job submitted through the entry runs each of its tasks once."""
    fleet = PlatformFleet(tmp_path)
    with fleet.run():
        _configure(fleet)
        # The entry may still be starting; the calls below are not repeated.
        fleet.wait_for(200, 'GET', '/seats/')
        assert (
            fleet.call('POST', _JOB_PATH, _make_job(), key='withdrawn')[0]
            == 401
        )
        assert fleet.call('POST', '/elsewhere/1', _make_job())[0] == 404
        assert fleet.call('GET', _JOB_PATH)[0] == 410
        fleet.wait_for(200, 'POST', _JOB_PATH, body=_make_job())
        assert fleet.call('POST', _JOB_PATH, _make_job())[0] == 200
        fleet.wait_for_state(_JOB_PATH, 'done')
        assert sorted(fleet.worker.starts) == [
            '5c0e7a21d94b36f8.0.0.0',
            '5c0e7a21d94b36f8.0.0.1',
            '5c0e7a21d94b36f8.0.0.2',
            '5c0e7a21d94b36f8.0.1.0',
        ]
        assert fleet.call('GET', '/seats/') == (200, {'pending': 0})
        metrics = ''.join(map(fleet.read_metrics, fleet.get_controls()))
        assert 'sardinemast_decisions_total{event="run.started"} 4.0' in metrics
        assert 'sardinemast_is_leader{of=""} 1.0' in metrics
        assert 'sardinemast_workers{of="booking"} 1.0' in metrics


def test_tasks_start_with_policy_tickets(tmp_path: Path) -> None:
    """Tasks of a queue with a policy start with a ticket for their step.

    Workers refuse starts without the ticket, so a job for which none is
    requested would never start.
    """
    config = make_config()
    config['routes'][0]['advice'] = {
        'decide_ms': 20,
        'period_ms': 5,
        'valid_ms': 5000,
    }
    fleet = PlatformFleet(tmp_path)
    with fleet.run():
        _configure(fleet, config)
        fleet.wait_for(200, 'POST', _JOB_PATH, body=_make_job())
        fleet.wait_for_state(_JOB_PATH, 'done')
        assert sorted(fleet.worker.tickets) == [
            '5c0e7a21d94b36f8.0.0',
            '5c0e7a21d94b36f8.0.1',
        ]
        assert len(fleet.worker.starts) == 4


def test_entry_serves_without_metrics_port(tmp_path: Path) -> None:
    """An entry serves although another program occupies its metrics port."""
    fleet = PlatformFleet(tmp_path)
    with fleet.hold_metrics_port(), fleet.run():
        _configure(fleet)
        fleet.wait_for(200, 'POST', _JOB_PATH, body=_make_job())
        fleet.wait_for_state(_JOB_PATH, 'done')


def test_job_survives_killed_leader(tmp_path: Path) -> None:
    """A new leader neither restarts nor loses the running tasks of a job."""
    fleet = PlatformFleet(tmp_path)
    fleet.worker.duration_s = 3
    with fleet.run():
        _configure(fleet)
        fleet.wait_for(200, 'POST', _JOB_PATH, body=_make_job())
        fleet.wait_for_state(_JOB_PATH, 'running')
        leader = fleet.wait_for_leader()
        fleet.processes.stop(leader, signal.SIGKILL)
        fleet.wait_for(200, 'GET', _JOB_PATH)
        fleet.wait_for_state(_JOB_PATH, 'done')
        assert len(fleet.worker.starts) == 4


def test_configuration_survives_full_restart(tmp_path: Path) -> None:
    """The configuration outlasts a kill of all control processes."""
    fleet = PlatformFleet(tmp_path)
    with fleet.run():
        _configure(fleet)
        for host in fleet.get_controls():
            fleet.processes.stop(host, signal.SIGKILL)
        for host in fleet.get_controls():
            fleet.start(host)
        config = fleet.wait_for(
            200, 'GET', '/config', host=fleet.get_controls()[2]
        )
        assert config == make_config()


def test_evacuation_survives_full_restart(tmp_path: Path) -> None:
    """No task starts in an evacuated data centre until it is readmitted.

    All control processes are killed in between; a job handed in meanwhile
    waits, and a mistyped name is refused.
    """
    fleet = PlatformFleet(tmp_path)
    with fleet.run():
        _configure(fleet)
        hosts = fleet.get_controls()
        fleet.wait_for(200, 'POST', '/evacuate/rennes', host=hosts[0])
        assert fleet.call('POST', '/evacuate/rennse', host=hosts[1])[0] == 400
        for host in hosts:
            fleet.processes.stop(host, signal.SIGKILL)
        for host in hosts:
            fleet.start(host)
        for host in hosts:
            fleet.wait_for(200, 'GET', '/config', host=host)
        leader = fleet.wait_for_leader()
        gauge = 'sardinemast_data_centre_evacuated{of="rennes"} 1.0'
        assert gauge in fleet.read_metrics(leader)
        announcement = fleet.worker.describe(2)
        path = f'/instances/{fleet.worker.name}'
        fleet.wait_for(200, 'PUT', path, body=announcement, host=hosts[1])
        fleet.wait_for(200, 'POST', _JOB_PATH, body=_make_job())
        time.sleep(_SETTLE_S)
        assert not fleet.worker.starts
        fleet.wait_for(200, 'DELETE', '/evacuate/rennes', host=hosts[2])
        fleet.wait_for_state(_JOB_PATH, 'done')
        assert len(fleet.worker.starts) == 4


def test_process_survives_full_disk(tmp_path: Path) -> None:
    """A control process keeps running while its disk is full.

    It cannot act as a replica meanwhile, but still answers operators' calls.
    """
    fleet = PlatformFleet(tmp_path)
    with fleet.run():
        _configure(fleet)
        host = fleet.get_controls()[1]
        fleet.processes.limit_files(host, 1)
        fleet.wait_for(200, 'POST', _JOB_PATH, body=_make_job())
        fleet.processes.wait_for_log(host, 'Storage is not usable, retrying')
        assert fleet.processes.is_running(host)
        fleet.wait_for(200, 'GET', '/config', host=host)
        fleet.processes.limit_files(host, resource.RLIM_INFINITY)
        fleet.wait_for_state(_JOB_PATH, 'done')
        assert fleet.processes.is_running(host)


def test_entry_exits_cleanly(tmp_path: Path) -> None:
    """A running entry exits with code 0 on SIGTERM."""
    fleet = PlatformFleet(tmp_path)
    with fleet.run():
        _configure(fleet)
        fleet.wait_for(410, 'GET', _JOB_PATH)
        assert fleet.processes.stop('127.0.0.4') == 0


def test_sighup_during_startup_is_ignored() -> None:
    """SIGHUP does not end a process that is still importing its modules."""
    completed = subprocess.run(
        (sys.executable, '-c', _PRINT_SIGNAL_STATE),
        capture_output=True,
        check=True,
        text=True,
    )
    assert completed.stdout.split() == ['True', 'False']
