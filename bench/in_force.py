"""Latency until an operator's command is in force, with real processes."""

import signal
import sys
import tempfile
import time
from functools import partial
from http import HTTPStatus
from pathlib import Path

from sardinemast.cli import commands

sys.path.insert(0, str(Path(__file__).parent.parent / 'tests'))

from builders.processes import Fleet, call, run_fleet, wait_for

_BASE = """
sites: {rennes: {region: brittany}}
pools: {enrolment: {}}
teams: {petits-pixels: {limit: 9}}
"""
_ENTRIES = 9
_ROUNDS = 60
_FROZEN_ROUNDS = 2
_RECOVERY_S = 2.0
_MS_PER_S = 1000


def main() -> None:
    """Print latencies with all processes running, then with one frozen."""
    with tempfile.TemporaryDirectory() as folder:
        base = Path(folder) / 'base.yaml'
        base.write_text(_BASE)
        with run_fleet(Path(folder), entry_count=_ENTRIES) as fleet:
            wait_for(
                partial(commands.apply, str(base), controls=fleet.controls)
            )
            for entry in fleet.entry_names:
                wait_for(partial(_is_ready, fleet.get_entry_address(entry)))
            controls = fleet.controls.split(',')
            _print_latencies(
                'healthy', [_measure_grant_ms(controls) for _ in range(_ROUNDS)]
            )
            _measure_frozen(fleet, 'entry-1', controls)
            for number, name in enumerate(fleet.control_names):
                others = controls[:number] + controls[number + 1 :]
                _measure_frozen(fleet, name, others)


def _measure_frozen(fleet: Fleet, name: str, controls: list[str]) -> None:
    times_ms = []
    for _ in range(_FROZEN_ROUNDS):
        fleet.signal(name, signal.SIGSTOP)
        times_ms.append(_measure_grant_ms(controls))
        fleet.signal(name, signal.SIGCONT)
        time.sleep(_RECOVERY_S)
    _print_latencies(f'{name} frozen', times_ms)


def _measure_grant_ms(controls: list[str]) -> float:
    started_s = time.perf_counter()
    answer = wait_for(
        partial(
            commands.grant_key,
            'petits-pixels',
            controls=','.join(controls),
        ),
    )
    if answer['entries_in_force'] < answer['entries_total']:
        print('Accepted, but not in force everywhere.')
    return (time.perf_counter() - started_s) * _MS_PER_S


def _is_ready(address: str) -> bool:
    return call(address, '/-/health').code == HTTPStatus.OK


def _print_latencies(label: str, times_ms: list[float]) -> None:
    times_ms.sort()
    count = len(times_ms)
    print(
        f'{label:18} {count:3} commands: median '
        f'{times_ms[count // 2]:7.1f} ms, '
        f'p99 {times_ms[int(count * 0.99)]:7.1f} ms, '
        f'worst {times_ms[-1]:7.1f} ms',
    )
