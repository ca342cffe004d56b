"""Start the project's programs as the deploy file says, on loopback addresses."""

import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.client import HTTPConnection
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Write what is sent, answered and run to a file."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def __call__(self, who, text):
        with self._lock:
            elapsed = time.monotonic() - self._start
            self._file.write(f'{elapsed:8.3f} {who}: {text}\n')
            self._file.flush()


def render(text, fields):
    """Fill in the parts of the template language that the project uses."""

    def find(name, local):
        if name == '.':
            return local
        value = fields
        for part in name.split('.'):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def fill(part, local, is_last):
        part = part.replace('{{,}}', '' if is_last else ',')

        def put(match):
            value = find(match.group(1), local)
            if isinstance(value, bool):
                return str(value).lower()
            return '' if value is None else str(value)

        return re.sub(r'\{\{([a-z_.0-9]+)\}\}', put, part)

    def section(match):
        value = find(match.group(1), None)
        if not value:
            return ''
        rows = value if isinstance(value, list) else [value]
        return ''.join(
            fill(match.group(2), row, number == len(rows) - 1)
            for number, row in enumerate(rows)
        )

    text = re.sub(r'\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/\1\}\}', section, text, flags=re.S)
    return fill(text, None, True)


def find_ports(hosts, count):
    """Return ports that are free on all of these addresses."""
    found = []
    while len(found) < count:
        port = random.randint(20000, 29999)
        try:
            for host in hosts:
                with socket.socket() as one:
                    one.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


def request(address, method, path, body=None, headers=None, timeout=3.0):
    """Send one request; return status and body, or None and the failure."""
    host, _, port = address.rpartition(':')
    connection = HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        head = {'Content-Type': 'application/json', **(headers or {})}
        connection.request(method, path, data, head)
        response = connection.getresponse()
        content = response.read()
        return response.status, json.loads(content) if content else None
    except (OSError, ValueError) as error:
        return None, f'{type(error).__name__}: {error}'
    finally:
        connection.close()


class Deployment:
    """Some control processes and entries, each on an address of its own."""

    def __init__(self, record, folder, controls=3, entries=1, cloud=None, advice=None):
        self.record = record
        self.folder = Path(folder)
        self.processes = {}
        first = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self.control_hosts = [f'{first}.{10 + n}' for n in range(controls)]
        self.entry_hosts = [f'{first}.{100 + n}' for n in range(entries)]
        hosts = self.control_hosts + self.entry_hosts
        self.worker_host = f'{first}.200'
        ports = find_ports([*hosts, self.worker_host], 4)
        self.control_port, self.front_port, self.ready_port, self.peer_port = ports
        self.controls = [f'{h}:{self.control_port}' for h in self.control_hosts]
        self.fronts = [f'{h}:{self.front_port}' for h in self.entry_hosts]
        self.cloud = cloud
        self.advice = advice
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.roles = deploy['roles']

    def fields(self, host, role):
        is_control = role == 'control'
        fields = {
            'node_name': host,
            'role': role,
            'ip': host,
            'zone': 'a',
            'region': 'r',
            'port_range': [self.peer_port, self.peer_port],
            'seeds': self.controls[:3],
            'bootstrap': not (self.folder / f'{host}.was').exists(),
            'listen': (
                {'control': f'{host}:{self.control_port}'}
                if is_control
                else {
                    'front': f'{host}:{self.front_port}',
                    'ready': f'{host}:{self.ready_port}',
                }
            ),
            'fault_tolerance': {'machines': (len(self.control_hosts) - 1) // 2},
        }
        if is_control:
            data = self.folder / f'data-{host}'
            data.mkdir(exist_ok=True)
            fields['data_dir'] = str(data)
        if self.cloud:
            fields['cloud_api'] = {'addr': self.cloud}
        if self.advice:
            fields['advice'] = self.advice
        return fields

    def start_process(self, host, role):
        settings = self.roles[role]
        template = (ROOT / settings['template']).read_text()
        path = self.folder / f'{host}.yaml'
        path.write_text(render(template, self.fields(host, role)))
        (self.folder / f'{host}.was').touch()
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'SARDINEMAST_BOOT': str(path),
        }
        log = open(self.folder / f'{host}.log', 'a')
        self.processes[host] = subprocess.Popen(
            settings['run'].split(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.record('deployment', f'started {role} {host}')

    def start(self):
        for host in self.control_hosts:
            self.start_process(host, 'control')
        for host in self.entry_hosts:
            self.start_process(host, 'entry')
        self.wait_ready(20)

    def wait_ready(self, timeout):
        until = time.monotonic() + timeout
        waiting = list(self.entry_hosts)
        while waiting:
            if time.monotonic() > until:
                raise CaseError('The entries did not get ready.')
            code, _ = request(f'{waiting[0]}:{self.ready_port}', 'GET', '/readyz')
            if code == 200:
                waiting.pop(0)
            else:
                time.sleep(0.2)

    def signal(self, host, number):
        self.record('deployment', f'{signal.Signals(number).name} to {host}')
        self.processes[host].send_signal(number)

    def keep_running(self, seconds, delay_s=0.5):
        """Start processes again that end, as the platform does; count the ends."""
        ends = {host: 0 for host in self.processes}
        due = {}
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for host, process in list(self.processes.items()):
                if process.poll() is None:
                    continue
                if host not in due:
                    ends[host] += 1
                    due[host] = time.monotonic() + delay_s
                    code = process.returncode
                    self.record('deployment', f'{host} ended by itself: {code}')
                elif time.monotonic() >= due[host]:
                    del due[host]
                    role = 'control' if host in self.control_hosts else 'entry'
                    self.start_process(host, role)
            time.sleep(0.05)
        return ends

    def find_leader(self):
        """Return the control process that said last that it leads."""
        found = []
        for host in self.control_hosts:
            for line in (self.folder / f'{host}.log').read_text().splitlines():
                match = re.search(r'"Term (\d+): leader\."', line)
                if match:
                    found.append((int(match.group(1)), host))
        return max(found)[1]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def call_control(self, method, path, body=None, timeout_s=15):
        """Call any control process until one gives a clear answer."""
        until = time.monotonic() + timeout_s
        number = random.randrange(len(self.controls))
        while time.monotonic() < until:
            address = self.controls[number % len(self.controls)]
            code, answer = request(address, method, path, body, timeout=1.5)
            self.record('operator', f'{method} {path} at {address} -> {code}')
            if code is not None and code < 500:
                return code, answer
            number += 1
            time.sleep(0.2)
        raise CaseError(f'No clear answer to {method} {path}.')

    def call_entry(self, method, path, host, key, body=None, entry=0, timeout=3.0):
        headers = {'Host': host, 'X-Api-Key': key, 'X-Deadline-Ms': '3000'}
        address = self.fronts[entry % len(self.fronts)]
        code, answer = request(address, method, path, body, headers, timeout)
        text = json.dumps(answer)
        self.record('consumer', f'{method} {path} at {address} -> {code} {text}')
        return code, answer

    def submit(self, path, host, key, body, timeout_s=15):
        """Submit a job as consumers do, again after no clear answer."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            code, _ = self.call_entry('POST', path, host, key, body)
            if code == 200:
                return
            if code not in (None, 502, 503, 504):
                raise CaseError(f'The job was answered {code}.')
            time.sleep(0.3)
        raise CaseError('The job was not accepted.')


def run_case(main):
    """Run a case and exit with 1 (broken), 0 (held) or 2 (could not run)."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / 'record.txt')
    record('case', f'TROUBLE={int(TROUBLE)}')
    deployments = []
    code = 2
    # Ends the processes of the case also if it is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as scratch:
        try:
            broken = main(record, scratch, deployments)
            for line in broken:
                record('case', f'BROKEN {line}')
                print('BROKEN', line)
            code = 1 if broken else 0
        except Exception as error:
            record('case', f'could not run: {type(error).__name__}: {error}')
            print(f'could not run: {type(error).__name__}: {error}')
            if os.environ.get('KEEP_LOGS'):
                for log in Path(scratch).glob('*.log'):
                    print(log.name, log.read_text()[-3000:])
        finally:
            for deployment in deployments:
                deployment.stop()
    record('case', f'exit {code}')
    sys.stdout.flush()
    os._exit(code)
