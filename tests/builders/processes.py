"""Processes of a fleet on the loopback interface."""

import os
import signal
import socket
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress
from functools import partial
from http import HTTPStatus
from pathlib import Path
from random import SystemRandom
from typing import Any

import trustme
import yaml
from tornado.httpclient import HTTPClient, HTTPRequest, HTTPResponse

from builders.certificates import write_certificate
from sardinemast.cli.exceptions import UnreachableError
from sardinemast.exceptions import CodedError

_TIMEOUT_S = 30.0
_POLL_S = 0.05
_LOG_TAIL_CHARS = 4000
_PORTS = range(10_000, 32_000)
# Each parallel test worker has its own range of ports: a port stays free
# between its choice and the start of its process, so another test could
# choose it too, and the process would fail with "address in use".
_RANGE_COUNT = 16
_RANGE_SIZE = len(_PORTS) // _RANGE_COUNT
_WORKER = int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw'))
_FIRST_OWN_PORT = _PORTS[_WORKER % _RANGE_COUNT * _RANGE_SIZE]
_OWN_PORTS = range(_FIRST_OWN_PORT, _FIRST_OWN_PORT + _RANGE_SIZE)
# Recently chosen ports, which are not chosen again for the same reason.
_recent_ports: deque[int] = deque(maxlen=_RANGE_SIZE // 2)


class Fleet:
    """Manage the processes of one test."""

    def __init__(self, folder: Path, control_count: int, entry_count: int):
        self.folder = folder
        self.authority: trustme.CA | None = None
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.control_names = [
            f'control-{number}' for number in range(1, control_count + 1)
        ]
        self.entry_names = [
            f'entry-{number}' for number in range(1, entry_count + 1)
        ]
        ports = iter(find_ports(2 * control_count + entry_count))
        self._controls: list[dict[str, Any]] = [
            {
                'name': name,
                'peer': {'port': next(ports)},
                'operator': {'port': next(ports)},
            }
            for name in self.control_names
        ]
        # Relay ports that replace peer ports, by (from, to) process names.
        self.relay_ports: dict[tuple[str, str], int] = {}
        self._entry_ports = dict(zip(self.entry_names, ports, strict=True))

    @property
    def controls(self) -> str:
        """Return the operator addresses in command-line format."""
        return ','.join(
            f'127.0.0.1:{control["operator"]["port"]}'
            for control in self._controls
        )

    @property
    def entries(self) -> str:
        """Return the caller addresses of all entries."""
        return ','.join(map(self.get_entry_address, self.entry_names))

    def get_entry_address(self, name: str) -> str:
        """Return the caller address of an entry."""
        return f'127.0.0.1:{self._entry_ports[name]}'

    def add_entry(self, name: str) -> None:
        """Reserve a port for an additional entry."""
        self._entry_ports[name] = find_ports(1)[0]

    def start(self, name: str) -> None:
        """Start a control process or an entry."""
        role = name.partition('-')[0]
        settings: dict[str, Any] = {
            'name': name,
            'roles': [role],
            'data_centre': 'rennes',
            'data_folder': str(self.folder / name),
            'controls': [
                self._apply_relay(name, control) for control in self._controls
            ],
        }
        if role == 'entry':
            settings['callers'] = {'port': self._entry_ports[name]}
        if self.authority is not None:
            settings['security'] = self.write_security(name, 'process')
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        self.run(name, 'sardinemast.daemon', str(path))

    def write_security(self, name: str, unit: str) -> dict[str, str]:
        """Write a certificate and return its security settings."""
        assert self.authority is not None
        security = write_certificate(self.folder, self.authority, name, unit)
        return {field: str(path) for field, path in security._asdict().items()}

    def get_peer_port(self, name: str) -> int:
        """Return the peer port of a control process."""
        found = next(
            control for control in self._controls if control['name'] == name
        )
        return int(found['peer']['port'])

    def start_upstream(self, name: str, *options: str) -> None:
        """Start an upstream that announces itself to all entries."""
        self.run(
            name,
            'sardinemast.standins',
            'upstream',
            f'--name={name}',
            '--pool=enrolment',
            f'--entries={self.entries}',
            '--data_centre=rennes',
            *options,
        )

    def run(self, name: str, module: str, *arguments: str) -> None:
        """Run a module as a process with this name."""
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=log,
                stderr=log,
            )

    def wait_until_serving(self) -> None:
        """Wait until each entry has a lease."""
        for name in self.entry_names:
            wait_for(partial(_is_serving, self.get_entry_address(name)))

    def kill(self, name: str) -> None:
        """Kill a process without a graceful shutdown."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def print_logs(self) -> None:
        """Print the end of each log to help diagnose a failure."""
        for path in sorted(self.folder.glob('*.log')):
            shown = path.read_text()[-_LOG_TAIL_CHARS:]
            sys.stdout.write(f'--- {path.name}\n{shown}\n')

    def _apply_relay(
        self, name: str, control: dict[str, Any]
    ) -> dict[str, Any]:
        port = self.relay_ports.get((name, control['name']))
        return {**control, 'peer': {'port': port}} if port else control


@contextmanager
def run_fleet(
    folder: Path,
    control_count: int = 3,
    entry_count: int = 3,
    authority: trustme.CA | None = None,
    prepare: Callable[[Fleet], None] | None = None,
) -> Iterator[Fleet]:
    """Run control processes and entries, and kill them on exit."""
    fleet = Fleet(folder, control_count, entry_count)
    fleet.authority = authority
    if prepare is not None:
        prepare(fleet)
    for name in (*fleet.control_names, *fleet.entry_names):
        fleet.start(name)
    try:
        yield fleet
    except BaseException:
        fleet.print_logs()
        raise
    finally:
        for process in fleet.processes.values():
            process.kill()
            process.wait()


def wait_for(action: Callable[[], Any]) -> Any:
    """Retry an action until its result is true, or time out."""
    give_up_s = time.monotonic() + _TIMEOUT_S
    while True:
        try:
            found = action()
        except (OSError, CodedError):
            if time.monotonic() > give_up_s:
                raise
            found = None
        if found:
            return found
        assert time.monotonic() < give_up_s, 'Timed out.'
        time.sleep(_POLL_S)


def settle(command: Callable[..., Any], *arguments: Any, **options: Any) -> Any:
    """Send a command again with its id while its outcome is unknown."""
    give_up_s = time.monotonic() + _TIMEOUT_S
    while True:
        try:
            return command(*arguments, **options)
        except UnreachableError:
            if time.monotonic() > give_up_s:
                raise
        time.sleep(_POLL_S)


def call(
    address: str,
    path: str,
    key: str = '',
    **options: Any,
) -> HTTPResponse:
    """Send a request to an entry and return the response."""
    headers = {'Authorization': f'Bearer {key}', **options.pop('headers', {})}
    client = HTTPClient()
    try:
        return client.fetch(
            HTTPRequest(f'http://{address}{path}', headers=headers, **options),
            raise_error=False,
        )
    finally:
        client.close()


def _is_serving(address: str) -> bool:
    return call(address, '/-/health').code == HTTPStatus.OK


def find_ports(count: int) -> list[int]:
    """Return free ports outside the system's ephemeral range.

    The system could assign an ephemeral port to another connection before
    the process starts.
    """
    return [_draw_ports(1) for _ in range(count)]


def find_port_pair() -> int:
    """Return the first of two consecutive free ports."""
    return _draw_ports(2)


def _draw_ports(count: int) -> int:
    """Return the first of ``count`` consecutive free ports."""
    while True:
        first = SystemRandom().choice(_OWN_PORTS[:-count])
        wanted = range(first, first + count)
        if not any(port in _recent_ports for port in wanted) and _are_free(
            wanted
        ):
            _recent_ports.extend(wanted)
            return first


def _are_free(ports: range) -> bool:
    with suppress(OSError), ExitStack() as stack:
        for port in ports:
            stack.enter_context(socket.create_server(('127.0.0.1', port)))
        return True
    return False
