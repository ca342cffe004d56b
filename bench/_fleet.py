"""Processes that benchmarks measure."""

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

_PATIENCE_S = 15.0
_POLL_S = 0.1
_KIB_PER_MIB = 1024
_BASE = """
sites: {rennes: {region: brittany}}
pools: {enrolment: {slots: 64}}
teams: {petits-pixels: {limit: 256}}
"""


def find_ports(count: int) -> list[int]:
    """Give free ports."""
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
    """Run a module, and print its peak memory at the end."""
    with (folder / f'{name}.log').open('wb') as log:
        process = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            stdout=log,
            stderr=log,
        )
    try:
        yield process
    finally:
        _end(name, process)


def start_fleet(
    stack: ExitStack,
    folder: Path,
) -> tuple[dict[str, int], str]:
    """Start a control process, an entry and an upstream.

    Give the ports of upstream and entry, and a key.
    """
    peer, operator, callers, upstream = find_ports(4)
    addresses = {'peer': {'port': peer}, 'operator': {'port': operator}}
    shared: dict[str, Any] = {
        'data_centre': 'rennes',
        'callers': {'port': callers},
        'controls': [{'name': 'control', **addresses}],
    }
    for name in ('control', 'entry'):
        stack.enter_context(_run_daemon(folder, name, shared))
    stack.enter_context(
        run_module(
            folder,
            'upstream',
            'sardinemast.standins',
            'upstream',
            '--name=enrol-1',
            '--pool=enrolment',
            f'--entries=127.0.0.1:{callers}',
            '--data_centre=rennes',
            f'--port={upstream}',
        )
    )
    key = _declare(folder, f'127.0.0.1:{operator}')
    _wait_until_served(callers, key)
    return {'upstream': upstream, 'entry': callers}, key


def _run_daemon(folder: Path, name: str, shared: dict[str, Any]) -> Any:
    path = folder / f'{name}.yaml'
    settings = {
        'name': name,
        'roles': [name],
        'data_folder': str(folder / name),
        **shared,
    }
    path.write_text(yaml.safe_dump(settings))
    return run_module(folder, name, 'sardinemast.daemon', str(path))


def _declare(folder: Path, controls: str) -> str:
    base = folder / 'base.yaml'
    base.write_text(_BASE)
    give_up_s = time.monotonic() + _PATIENCE_S
    while True:
        try:
            commands.apply(str(base), controls=controls)
            granted = commands.grant_key(
                'petits-pixels', 'bench', controls=controls
            )
        except (OSError, CodedError):
            if time.monotonic() > give_up_s:
                raise
            time.sleep(_POLL_S)
        else:
            return str(granted['key'])


def _wait_until_served(port: int, key: str) -> None:
    give_up_s = time.monotonic() + _PATIENCE_S
    request = Request(
        f'http://127.0.0.1:{port}/enrolment/ready',
        headers={'Authorization': f'Bearer {key}'},
    )
    while True:
        try:
            urlopen(request)
        except URLError:
            if time.monotonic() > give_up_s:
                raise
            time.sleep(_POLL_S)
        else:
            return


def _end(name: str, process: subprocess.Popen[bytes]) -> None:
    print(f'peak memory of {name}: {_get_peak_mib(process.pid):.0f} MiB')
    process.kill()
    process.wait()


def _get_peak_mib(pid: int) -> float:
    status = Path(f'/proc/{pid}/status').read_text()
    line = next(one for one in status.splitlines() if 'VmHWM' in one)
    return int(line.split()[1]) / _KIB_PER_MIB
