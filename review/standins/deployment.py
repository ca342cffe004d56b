"""Processes of a small deployment on loopback addresses.

The settings are those that the pages show for a small site; the template and
the command are those of the deploy file.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

import web

_ROOT = Path(__file__).resolve().parents[2]
_ZONES = ('rennes', 'brest', 'vannes', 'lorient')
_READY_S = 30.0
_POLL_S = 0.05
HOST = 'pule25.example'
KEY = 'sjnbanfqasnmgkcuyj8p'
SERVICE = 'breizh-app'
PREFIX = '/puxa400/'
_BOUNDS = {
    'contact_ms': 3000,
    'ack_ms': 4000,
    'grace_s': 6,
    'hold_max_ms': 10000,
    'stop_ms': 200,
    'visible_ms': 3000,
    'status_s': 120,
}


def make_config(version=1, services=(SERVICE,), **changes):
    """Return a configuration with a queue for each service."""
    routes = [
        {
            'name': f'r-{service}',
            'host': HOST,
            'prefix': PREFIX if service == SERVICE else f'/{service}/',
            'kind': 'unsafe',
            'timeout_ms': 3000,
            'slo_ms': 600,
            'prio': 0,
            'service': service,
            'attempts': 3,
            'stretch': 1.6,
            'public': False,
        }
        for service in services
    ]
    found = {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': service,
                'health_path': '/healthz',
                'max_conns': 64,
                'proto': 'h1',
                'tls': False,
                'rejects_overload': True,
                'standby': False,
            }
            for service in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'cugo130',
                'keys': [KEY],
                'prio': 1,
                'weight': 40,
                'cap': {'cpu': 327_433, 'mem_mb': 1_219_485, 'gpu': 0},
            }
        ],
    }
    found.update(changes)
    return found


class Record:
    """Write what was sent, answered and run, one JSON line each."""

    def __init__(self, path):
        self._file = path.open('w')
        self._start_s = time.monotonic()
        self.lines = []

    def write(self, what, **details):
        """Write a line, and keep it for the check."""
        at_s = round(time.monotonic() - self._start_s, 4)
        line = {'at_s': at_s, 'what': what, **details}
        self.lines.append(line)
        self._file.write(json.dumps(line) + '\n')
        self._file.flush()

    def now_s(self):
        """Return the time of a line written now."""
        return time.monotonic() - self._start_s


class Deployment:
    """Run entries and control processes as the deploy file says."""

    def __init__(self, record, control_count=5, entry_count=2):
        self.record = record
        self._folder = Path(tempfile.mkdtemp(prefix='review-'))
        deploy = tomllib.loads((_ROOT / 'deploy/system.toml').read_text())
        self._roles = deploy['roles']
        subnet = f'127.{random.randint(1, 250)}.{random.randint(1, 250)}'
        self.subnet = subnet
        ips = [f'{subnet}.{number}' for number in range(1, 30)]
        self.controls = ips[:control_count]
        self.entries = ips[control_count : control_count + entry_count]
        self.front, self.ready, self.control, self.range = _find_ports(ips)
        self._processes = {}
        self._is_first = True

    def start(self, ips=None):
        """Start processes; at the first call, all of them."""
        for ip in ips or (*self.controls, *self.entries):
            self._start(ip)
        self._is_first = False

    def kill(self, ips):
        """End processes at once, as a kill or a loss of power does."""
        for ip in ips:
            self._processes[ip].kill()
        for ip in ips:
            self._processes.pop(ip).wait()
            self.record.write('killed', process=ip)

    def signal(self, ip, number):
        """Send a signal to a process."""
        self._processes[ip].send_signal(number)
        name = signal.Signals(number).name
        self.record.write('signal', process=ip, signal=name)

    def list_ended(self):
        """Return the processes that ended by themselves."""
        return [
            ip
            for ip, process in self._processes.items()
            if process.poll() is not None
        ]

    def close(self):
        """End all processes and remove their files."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(self._folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    async def call(self, ip, method, path, body=None, **options):
        """Send a call to an entry or a control process; None: no answer."""
        is_control = ip in self.controls
        port = self.control if is_control else self.front
        headers = {}
        if not is_control:
            headers = {'Host': HOST, 'X-Api-Key': KEY, 'X-Deadline-Ms': '3000'}
        try:
            answer = await web.call(
                f'{ip}:{port}', method, path, body, headers, **options
            )
        except (OSError, TimeoutError) as error:
            answer = (None, repr(error))
        self.record.write(
            'call',
            to=ip,
            call=f'{method} {path}',
            sent=body,
            status=answer[0],
            answer=answer[1],
        )
        return answer

    async def wait_for(self, code, ip, method, path, body=None):
        """Repeat a call until it is answered with a status."""
        until_s = time.monotonic() + _READY_S
        while time.monotonic() < until_s:
            found = await self.call(ip, method, path, body)
            if found[0] == code:
                return found[1]
            await asyncio.sleep(_POLL_S * 2)
        raise TimeoutError(f'{method} {path} was not answered with {code}.')

    async def find_leader(self):
        """Return the control process that leads, by its metrics."""
        until_s = time.monotonic() + _READY_S
        while time.monotonic() < until_s:
            for ip in self.controls:
                if ip in self._processes and await self._is_leader(ip):
                    return ip
            await asyncio.sleep(_POLL_S)
        raise TimeoutError('No control process leads.')

    async def _is_leader(self, ip):
        try:
            reader, writer = await asyncio.open_connection(ip, 9464)
            writer.write(
                b'GET /metrics HTTP/1.1\r\nHost: x\r\n'
                b'Connection: close\r\n\r\n'
            )
            async with asyncio.timeout(1):
                text = await reader.read()
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b'sardinemast_is_leader{of=""} 1.0' in text

    def _start(self, ip):
        is_control = ip in self.controls
        name = 'control' if is_control else 'entry'
        role = self._roles[name]
        settings = self._make_settings(ip, name, is_control=is_control)
        template = (_ROOT / role['template']).read_text()
        path = self._folder / f'{ip}.yaml'
        path.write_text(_render(template, settings))
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(_ROOT / 'target/deps'),
            'SARDINEMAST_BOOT': str(path),
        }
        with (self._folder / f'{ip}.log').open('ab') as log:
            self._processes[ip] = subprocess.Popen(
                role['run'].split(),
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.write('started', process=ip, role=name)

    def _make_settings(self, ip, role, *, is_control):
        everyone = [*self.controls, *self.entries]
        zone = _ZONES[everyone.index(ip) % len(_ZONES)]
        found = {
            'node_name': f'{role}-{ip}',
            'role': role,
            'ip': ip,
            'zone': zone,
            'region': 'bretagne',
            'port_range': [self.range, self.range + 15],
            'seeds': [f'{one}:{self.control}' for one in self.controls[:3]],
            'bootstrap': self._is_first,
            'in_tolerance': is_control,
            'discovery': 'registry',
            'entry': 'vip',
            'heartbeat_ms': 1500,
            'config_mode': 'highest',
            'orders': 'invoke',
            'fault_tolerance': {
                'machines': (len(self.controls) - 1) // 2,
                'zones': 0,
                'region_count': 0,
            },
            'bounds': _BOUNDS,
        }
        if is_control:
            folder = self._folder / 'data' / ip
            folder.mkdir(parents=True, exist_ok=True)
            found['data_dir'] = str(folder)
            found['listen'] = {'control': f'{ip}:{self.control}'}
        else:
            found['listen'] = {
                'front': f'{ip}:{self.front}',
                'ready': f'{ip}:{self.ready}',
            }
        return found


def _find_ports(ips):
    while True:
        base = random.randint(10_000, 28_000)
        wanted = (base, base + 1, base + 2, base + 10)
        if all(_is_free(ip, port) for ip in ips for port in wanted):
            return wanted


def _is_free(ip, port):
    try:
        socket.create_server((ip, port)).close()
    except OSError:
        return False
    return True


def _render(template, fields):
    """Fill in a template as the page on deployment describes."""

    def find(name, scopes):
        if name == '.':
            return scopes[-1]
        for scope in reversed(scopes):
            found = scope
            for part in name.split('.'):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                elif isinstance(found, list) and part.isdigit():
                    found = found[int(part)]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def show(found):
        if found is None:
            return ''
        if isinstance(found, bool):
            return json.dumps(found)
        if isinstance(found, list):
            return ','.join(map(str, found))
        return json.dumps(found) if isinstance(found, dict) else str(found)

    def fill(text, scopes):
        section = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)

        def expand(match):
            found = find(match[1], scopes)
            if not found:
                return ''
            if not isinstance(found, list):
                return fill(match[2], [*scopes, found])
            parts = []
            for number, one in enumerate(found):
                comma = ',' if number < len(found) - 1 else ''
                inner = match[2].replace('{{,}}', comma)
                parts.append(fill(inner, [*scopes, one]))
            return ''.join(parts)

        text = section.sub(expand, text)
        return re.sub(
            r'\{\{([\w.]+)\}\}', lambda one: show(find(one[1], scopes)), text
        )

    return fill(template, [fields])
