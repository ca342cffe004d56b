"""Real processes on loopback for tests."""

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
from sardinemast.exceptions import CodedError

_PATIENCE_S = 30.0
_POLL_S = 0.05
_LOG_SHOWN = 4000
_PORTS = range(10_000, 32_000)
# Tests that run side by side draw from parts of their own: a port is free
# between its choice and the start of its process, and another test's fleet
# would take it. The process then says that its address is in use.
_PARTS = 16
_PART_PORTS = len(_PORTS) // _PARTS
_WORKER = int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw'))
_FIRST_OWN = _PORTS[_WORKER % _PARTS * _PART_PORTS]
_OWN_PORTS = range(_FIRST_OWN, _FIRST_OWN + _PART_PORTS)
# For the same reason none is given twice before most of the part was given.
_given: deque[int] = deque(maxlen=_PART_PORTS // 2)


class Fleet:
    """Hold the processes of one test."""

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
        # What one control process dials instead of another's peer port.
        self.detours: dict[tuple[str, str], int] = {}
        self._entry_ports = dict(zip(self.entry_names, ports, strict=True))

    @property
    def controls(self) -> str:
        """Give the operators' addresses as the command line takes them."""
        return ','.join(
            f'127.0.0.1:{one["operator"]["port"]}' for one in self._controls
        )

    @property
    def entries(self) -> str:
        """Give the callers' addresses."""
        return ','.join(map(self.get_entry, self.entry_names))

    def get_entry(self, name: str) -> str:
        """Give the callers' address of an entry."""
        return f'127.0.0.1:{self._entry_ports[name]}'

    def add_entry(self, name: str) -> None:
        """Find a port for one more entry."""
        self._entry_ports[name] = find_ports(1)[0]

    def start(self, name: str) -> None:
        """Start a control process or an entry."""
        role = name.partition('-')[0]
        settings: dict[str, Any] = {
            'name': name,
            'roles': [role],
            'data_centre': 'rennes',
            'data_folder': str(self.folder / name),
            'controls': [self._detour(name, one) for one in self._controls],
        }
        if role == 'entry':
            settings['callers'] = {'port': self._entry_ports[name]}
        if self.authority is not None:
            settings['security'] = self.write_security(name, 'process')
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        self.run(name, 'sardinemast.daemon', str(path))

    def write_security(self, name: str, unit: str) -> dict[str, str]:
        """Write a certificate, and give the settings that name it."""
        assert self.authority is not None
        security = write_certificate(self.folder, self.authority, name, unit)
        return {field: str(path) for field, path in security._asdict().items()}

    def get_peer_port(self, name: str) -> int:
        """Give the port that a control process listens on for peers."""
        found = next(one for one in self._controls if one['name'] == name)
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
        """Start a module under a name."""
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=log,
                stderr=log,
            )

    def wait_until_serving(self) -> None:
        """Wait until each entry has a lease."""
        for name in self.entry_names:
            wait_for(partial(_is_serving, self.get_entry(name)))

    def kill(self, name: str) -> None:
        """Kill a process with no chance to tidy up."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def print_logs(self) -> None:
        """Print the end of each log, for a failure that may not come again."""
        for path in sorted(self.folder.glob('*.log')):
            shown = path.read_text()[-_LOG_SHOWN:]
            sys.stdout.write(f'--- {path.name}\n{shown}\n')

    def _detour(self, name: str, control: dict[str, Any]) -> dict[str, Any]:
        port = self.detours.get((name, control['name']))
        return {**control, 'peer': {'port': port}} if port else control


@contextmanager
def run_fleet(
    folder: Path,
    control_count: int = 3,
    entry_count: int = 3,
    authority: trustme.CA | None = None,
    prepare: Callable[[Fleet], None] | None = None,
) -> Iterator[Fleet]:
    """Start control processes and entries, and stop all at the end."""
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
    """Repeat an action until it gives something true, or fail."""
    give_up_s = time.monotonic() + _PATIENCE_S
    while True:
        try:
            found = action()
        except (OSError, CodedError):
            if time.monotonic() > give_up_s:
                raise
            found = None
        if found:
            return found
        assert time.monotonic() < give_up_s, 'Gave up waiting.'
        time.sleep(_POLL_S)


def call(
    address: str,
    path: str,
    key: str = '',
    **options: Any,
) -> HTTPResponse:
    """Send one request to an entry."""
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
    """Give free ports that the system gives to nobody by itself.

    A port of the system's own range may go to any connection between this
    call and the start of the process that it is meant for.
    """
    return [_draw_ports(1) for _ in range(count)]


def find_port_pair() -> int:
    """Give a free port behind which the next one is free too."""
    return _draw_ports(2)


def _draw_ports(count: int) -> int:
    """Give the first of so many free ports in a row."""
    while True:
        first = SystemRandom().choice(_OWN_PORTS[:-count])
        wanted = range(first, first + count)
        if not any(port in _given for port in wanted) and _are_free(wanted):
            _given.extend(wanted)
            return first


def _are_free(ports: range) -> bool:
    with suppress(OSError), ExitStack() as stack:
        for port in ports:
            stack.enter_context(socket.create_server(('127.0.0.1', port)))
        return True
    return False
