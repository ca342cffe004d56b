"""Processes of a fleet to measure."""

import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any
from urllib.error import URLError
from urllib.request import Request, urlopen

import yaml

from sardinemast.cli import commands
from sardinemast.exceptions import CodedError

_RETRY_TIMEOUT_S = 15.0
_RETRY_INTERVAL_S = 0.1
_KIB_PER_MIB = 1024
_BASE = """
sites: {rennes: {region: brittany}}
pools: {enrolment: {slots: 64}}
teams: {petits-pixels: {limit: 256}}
"""


def find_ports(count: int) -> list[int]:
    """Return free ports."""
    with ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server(('127.0.0.1', 0)))
            for _ in range(count)
        ]
        return [one.getsockname()[1] for one in sockets]


@contextmanager
def run_module(
    folder: Path,
    name: str,
    module: str,
    *arguments: str,
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a module in a child process and print its peak memory on exit."""
    with (folder / f'{name}.log').open('wb') as log:
        process = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            stdout=log,
            stderr=log,
        )
    try:
        yield process
    finally:
        _kill(name, process)


def start_fleet(
    stack: ExitStack,
    folder: Path,
    entry_count: int = 1,
) -> tuple[dict[str, int], str]:
    """Start a control process, entries and an upstream.

    Return the ports of the upstream and the first entry, and a key.
    """
    upstream, *entry_ports = find_ports(1 + entry_count)
    controls = _start_daemons(stack, folder, entry_ports)
    entry = entry_ports[0]
    stack.enter_context(
        run_module(
            folder,
            'upstream',
            'sardinemast.standins',
            'upstream',
            '--name=enrol-1',
            '--pool=enrolment',
            f'--entries=127.0.0.1:{entry}',
            '--data_centre=rennes',
            f'--port={upstream}',
        )
    )
    key = _apply_settings(folder, controls)
    _wait_until_ready(entry, key)
    return {'upstream': upstream, 'entry': entry}, key


def _start_daemons(
    stack: ExitStack,
    folder: Path,
    entry_ports: list[int],
) -> str:
    peer, operator = find_ports(2)
    addresses = {'peer': {'port': peer}, 'operator': {'port': operator}}
    shared: dict[str, Any] = {
        'data_centre': 'rennes',
        'controls': [{'name': 'control', **addresses}],
    }
    stack.enter_context(_run_daemon(folder, 'control', 'control', shared))
    for number, port in enumerate(entry_ports, start=1):
        entry_settings = {**shared, 'callers': {'port': port}}
        name = f'entry-{number}'
        stack.enter_context(_run_daemon(folder, name, 'entry', entry_settings))
    return f'127.0.0.1:{operator}'


def _run_daemon(
    folder: Path, name: str, role: str, shared: dict[str, Any]
) -> Any:
    path = folder / f'{name}.yaml'
    settings = {
        'name': name,
        'roles': [role],
        'data_folder': str(folder / name),
        **shared,
    }
    path.write_text(yaml.safe_dump(settings))
    return run_module(folder, name, 'sardinemast.daemon', str(path))


def _apply_settings(folder: Path, controls: str) -> str:
    base = folder / 'base.yaml'
    base.write_text(_BASE)
    deadline_s = time.monotonic() + _RETRY_TIMEOUT_S
    while True:
        try:
            commands.apply(str(base), controls=controls)
            granted = commands.grant_key(
                'petits-pixels', 'bench', controls=controls
            )
        except (OSError, CodedError):
            if time.monotonic() > deadline_s:
                raise
            time.sleep(_RETRY_INTERVAL_S)
        else:
            return str(granted['key'])


def _wait_until_ready(port: int, key: str) -> None:
    deadline_s = time.monotonic() + _RETRY_TIMEOUT_S
    request = Request(
        f'http://127.0.0.1:{port}/enrolment/ready',
        headers={'Authorization': f'Bearer {key}'},
    )
    while True:
        try:
            urlopen(request)
        except URLError:
            if time.monotonic() > deadline_s:
                raise
            time.sleep(_RETRY_INTERVAL_S)
        else:
            return


def _kill(name: str, process: subprocess.Popen[bytes]) -> None:
    print(f'peak memory of {name}: {_get_peak_mib(process.pid):.0f} MiB')
    process.kill()
    process.wait()


def _get_peak_mib(pid: int) -> float:
    status = Path(f'/proc/{pid}/status').read_text()
    line = next(one for one in status.splitlines() if 'VmHWM' in one)
    return int(line.split()[1]) / _KIB_PER_MIB
