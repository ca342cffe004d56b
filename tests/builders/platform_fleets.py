"""Processes that speak the platform's protocol, and a test worker."""

import json
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

from builders.platform_processes import PlatformProcesses
from builders.processes import find_port_pair, find_ports

_HOSTS = ('127.0.0.1', '127.0.0.2', '127.0.0.3')
_ENTRY_HOST = '127.0.0.4'
_WORKER_HOST = '127.0.0.5'
_WAIT_S = 20.0
_LEADS = 'sardinemast_is_leader{of=""} 1.0'
_POLL_S = 0.05
_MS = 1000
KEY = 'key-of-breizh'


def make_config() -> dict[str, Any]:
    """Return a configuration with one queue, one pool and one team."""
    return {
        'version': 1,
        'routes': [
            {
                'name': 'seats',
                'host': 'h.example',
                'prefix': '/seats/',
                'service': 'booking',
                'timeout_ms': 3000,
                'attempts': 2,
            },
        ],
        'services': [{'name': 'booking'}],
        'tenants': [{'name': 'breizh', 'keys': [KEY]}],
    }


class StandinWorker:
    """Serve the platform's protocol and run each task for a fixed time.

    It also serves as the external policy service: it issues tickets for
    itself and refuses a start without the ticket of its step.
    """

    def __init__(self, port: int, duration_s: float) -> None:
        self.name = 'i-standin'
        self.born_ms = int(time.time() * _MS)
        self.starts: list[str] = []
        self.duration_s = duration_s
        self.tickets: dict[str, str] = {}
        self._lock = threading.Condition()
        self._running: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._fence = 0
        self._position = 0
        self._server = _WorkerServer((_WORKER_HOST, port), _Handler)
        self._server.worker = self
        self.address = f'{_WORKER_HOST}:{port}'

    @contextmanager
    def serve(self) -> Iterator[None]:
        """Serve until the context exits."""
        thread = threading.Thread(target=self._server.serve_forever)
        thread.start()
        with self._server:
            try:
                yield
            finally:
                self._server.shutdown()

    def answer(self, path: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Execute an order and return the status code and body."""
        if path == '/advise':
            ticket = f'ticket for {body["step"]}'
            self.tickets[body['step']] = ticket
            return 200, {'granted': [[self.name, ticket]]}
        with self._lock:
            if body['fence'] < self._fence:
                return 409, {'wall_ms': self._get_clock_ms(), 'reason': 'fence'}
            self._fence = body['fence']
            if path == '/run-start':
                step = body['task'].rpartition('.')[0]
                if body.get('ticket', '') != self.tickets.get(step, ''):
                    refusal = {'reason': 'ticket'}
                    return 409, {'wall_ms': self._get_clock_ms(), **refusal}
                self._start(body['task'], body['run'])
            elif path == '/hold':
                return 200, self._hold(body)
            return 200, {'wall_ms': self._get_clock_ms()}

    def describe(self, sequence: int) -> dict[str, Any]:
        """Return the worker's announcement."""
        return {
            'service': 'booking',
            'addr': self.address,
            'zone': 'rennes',
            'state': 'ready',
            'seq': sequence,
            'born': self.born_ms,
            'machine': 'm-1',
            'labels': ['a', 'r-1'],
            'capacity': {'cpu': 8000, 'mem_mb': 8192, 'gpu': 0},
        }

    def _get_clock_ms(self) -> int:
        return int(time.time() * _MS) - self.born_ms + _MS

    def _start(self, task: str, run: int) -> None:
        self.starts.append(task)
        self._running[task] = run
        timer = threading.Timer(self.duration_s, self._end, (task,))
        timer.daemon = True
        timer.start()

    def _end(self, task: str) -> None:
        with self._lock:
            run = self._running.pop(task)
            self._position += 1
            self._ended.append([self._position, task, run, 'done', ''])
            self._lock.notify_all()

    def _hold(self, body: dict[str, Any]) -> dict[str, Any]:
        seen = body['last_seen']
        self._ended = [
            ended_run for ended_run in self._ended if ended_run[0] > seen
        ]
        if not self._ended:
            self._lock.wait(body.get('wait_ms', 0) / _MS)
        return {
            'wall_ms': self._get_clock_ms(),
            'born': self.born_ms,
            'running': [
                [task, run, '', 50, 0] for task, run in self._running.items()
            ],
            'finished': self._ended,
        }


class _WorkerServer(ThreadingHTTPServer):
    worker: StandinWorker


class _Handler(BaseHTTPRequestHandler):
    """Forward HTTP requests to the worker."""

    protocol_version = 'HTTP/1.1'
    server: _WorkerServer

    def do_POST(self) -> None:
        """Respond to an order."""
        length = int(self.headers['Content-Length'])
        body = json.loads(self.rfile.read(length))
        code, answer = self.server.worker.answer(self.path, body)
        content = json.dumps(answer).encode()
        self.send_response(code)
        self.send_header('Content-Length', str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    def log_message(self, format: str, *args: Any) -> None:
        """Suppress the access log."""


class PlatformFleet:
    """Manage three control processes, an entry and a worker."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._port = find_port_pair()
        ports = find_ports(5)
        self._metrics = ports[4]
        self._callers = ports[0]
        self._readiness = ports[1]
        self._operators = ports[2]
        self.worker = StandinWorker(ports[3], 0.2)
        self.processes = PlatformProcesses(folder)

    @contextmanager
    def run(self) -> Iterator[None]:
        """Run all processes until the context exits."""
        try:
            for host in (*_HOSTS, _ENTRY_HOST):
                self.start(host)
            with self.worker.serve():
                yield
        finally:
            self.processes.kill_all()

    @contextmanager
    def hold_metrics_port(self) -> Iterator[None]:
        """Occupy the entry's metrics port until the context exits."""
        with socket.create_server((_ENTRY_HOST, self._metrics)):
            yield

    def start(self, host: str) -> None:
        """Start the process of a host address."""
        self.processes.start(host, self._make_settings(host))

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        key: str = KEY,
        host: str = '',
    ) -> tuple[int, Any]:
        """Send a request to the entry, or to the control process of a host."""
        port = self._operators if host else self._callers
        connection = HTTPConnection(host or _ENTRY_HOST, port, timeout=5)
        headers = {'Host': 'h.example', 'X-Api-Key': key}
        content = None if body is None else json.dumps(body).encode()
        try:
            connection.request(method, path, content, headers)
            answer = connection.getresponse()
            found = answer.read()
        finally:
            connection.close()
        return answer.status, json.loads(found or b'null')

    def read_metrics(self, host: str) -> str:
        """Return the metrics of a host's process as text."""
        connection = HTTPConnection(host, self._metrics, timeout=5)
        try:
            connection.request('GET', '/metrics')
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def wait_for(
        self, code: int, method: str, path: str, **options: Any
    ) -> Any:
        """Repeat a request until its response has the status code."""
        due_s = time.monotonic() + _WAIT_S
        seen: Any = None
        while time.monotonic() < due_s:
            try:
                seen = self.call(method, path, **options)
            except OSError as error:
                seen = error
            if isinstance(seen, tuple) and seen[0] == code:
                return seen[1]
            time.sleep(_POLL_S)
        raise TimeoutError(f'{method} {path}: {seen}')

    def wait_for_leader(self) -> str:
        """Wait until a control process is leader, and return its host."""
        due_s = time.monotonic() + _WAIT_S
        while time.monotonic() < due_s:
            for host in self.get_controls():
                if _LEADS in self.read_metrics(host):
                    return host
            time.sleep(_POLL_S)
        raise TimeoutError('No control process became leader.')

    def wait_for_state(self, path: str, state: str) -> None:
        """Poll a job until it is in the state."""
        due_s = time.monotonic() + _WAIT_S
        while time.monotonic() < due_s:
            code, found = self.call('GET', path)
            if code == 200 and found['state'] == state:
                return
            time.sleep(_POLL_S)
        raise TimeoutError(f'{path} is not {state}.')

    def get_controls(self) -> tuple[str, ...]:
        """Return the hosts of the control processes."""
        return _HOSTS

    def _make_settings(self, host: str) -> dict[str, Any]:
        role = 'entry' if host == _ENTRY_HOST else 'control'
        return {
            'name': host,
            'roles': [role],
            'data_centre': 'rennes',
            'data_folder': str(self._folder / host),
            'network': 'private',
            'callers': f'{host}:{self._callers}',
            'readiness': f'{host}:{self._readiness}',
            'operators': f'{host}:{self._operators}',
            'cluster': {
                'host': host,
                'port': self._port,
                'founders': list(_HOSTS),
                'failures_tolerated': 1,
            },
            'advice': self.worker.address,
            'metrics': f'{host}:{self._metrics}',
            'logs': {'format': 'json'},
        }
