"""Executors and the list of machines, as PROTOCOL.md describes them."""

import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from deployment import request

STOP_S = 0.1


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Callers may leave at any time."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def _answer(self):
        size = int(self.headers.get('Content-Length') or 0)
        content = self.rfile.read(size)
        body = json.loads(content) if content else {}
        code, answer = self.server.owner.handle(self.command, self.path, body, self.headers)
        if code is None:
            self.close_connection = True
            return
        data = json.dumps(answer).encode()
        self.send_response(code)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = do_DELETE = _answer


def serve(owner, host, port=0):
    server = _Server((host, port), _Handler)
    server.owner = owner
    threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
    return server


class Executor:
    """One executor: it runs work items and reports to the control processes.

    ``work_s`` gives the duration of a work item by its spec; None is for ever.
    """

    def __init__(self, name, service, host, controls, record, work_s, *,
                 capacity, rack='r1', kind='a', machine=None, heartbeat_s=1.5,
                 hold_max_ms=10000, omitted=(), rate=1.0):
        self.name, self.service, self.controls = name, service, controls
        self.record, self.work_s = record, work_s
        self.capacity, self.labels = capacity, [kind, rack]
        self.machine = machine or f'm-{name}'
        self.heartbeat_s, self.hold_max_ms = heartbeat_s, hold_max_ms
        self.is_up = True
        # Nothing reaches an executor that is cut off, and nothing comes from it.
        self.is_cut = False
        self.rate = rate
        self.refuses = False
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self._start = time.monotonic()
        self._seq = 0
        self._fence = 0
        self._ended = 0
        self._condition = threading.Condition()
        self.running = {}
        self.finished = []
        self._highest = {}
        self.starts = []
        self.server = serve(self, host)
        self.address = f'{host}:{self.server.server_address[1]}'
        self.ends = []
        self.omitted = omitted
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._watch, daemon=True).start()

    def crash(self):
        """End silently, for good."""
        with self._condition:
            self.is_up = False
            self.running.clear()
            self._condition.notify_all()
        self.record(self.name, 'crashed')
        self.server.shutdown()
        self.server.server_close()

    def clock_ms(self):
        return 100_000 + int((time.monotonic() - self._start) * self.rate * 1000)

    def _beat(self):
        while self.is_up:
            if self.is_cut:
                time.sleep(0.1)
                continue
            self._seq += 1
            body = {
                'service': self.service, 'addr': self.address, 'zone': 'a',
                'version': 'v1', 'slots': 8, 'state': self.state,
                'cold_left_ms': 0, 'capacity': self.capacity,
                'labels': self.labels, 'wall_ms': self.clock_ms(),
                'seq': self._seq, 'born': self.born, 'machine': self.machine,
            }
            for name in self.omitted:
                del body[name]
            for control in random.sample(self.controls, len(self.controls)):
                code, _ = request(control, 'PUT', f'/instances/{self.name}', body, timeout=1.0)
                if code is not None and 200 <= code < 300:
                    break
            time.sleep(self.heartbeat_s * random.uniform(0.9, 1.1))

    def _watch(self):
        while self.is_up:
            with self._condition:
                now = time.monotonic()
                for task, run in list(self.running.items()):
                    if run['ends'] is not None and now >= run['ends']:
                        self._end(task, run['how'])
                    elif self.clock_ms() >= self._expires_ms:
                        self._end(task, 'lapsed')
            time.sleep(0.02)

    _expires_ms = 0

    def _end(self, task, how):
        run = self.running.pop(task)
        self._ended += 1
        self.finished.append([self._ended, task, run['run'], how, ''])
        self._highest[task] = max(self._highest.get(task, 0), run['run'])
        self.ends.append((time.monotonic(), task, how))
        self.record(self.name, f'{task} run {run["run"]} ended {how}')
        self._condition.notify_all()

    def _extend(self, body):
        if 'expires_ms' in body:
            longest = self.clock_ms() + self.hold_max_ms
            self._expires_ms = max(self._expires_ms, min(body['expires_ms'], longest))

    def handle(self, method, path, body, headers):
        while self.is_cut and self.is_up:
            time.sleep(0.1)
        if not self.is_up:
            return None, {}
        if headers.get('X-Expect-Instance', self.name) != self.name:
            return 421, {'wall_ms': self.clock_ms(), 'born': self.born}
        with self._condition:
            if path != '/hold' and self.refuses:
                self.record(self.name, f'{path} {body.get("task")} -> 503')
                return 503, {'wall_ms': self.clock_ms(), 'born': self.born}
            if body.get('fence', 0) < self._fence:
                return self._refuse('fence')
            self._fence = body.get('fence', 0)
            if path == '/hold':
                return self._hold(body)
            if path == '/run-start':
                return self._run_start(body)
            if path == '/run-stop':
                return self._run_stop(body)
            return 200, {'wall_ms': self.clock_ms(), 'born': self.born}

    def _refuse(self, reason):
        return 409, {'wall_ms': self.clock_ms(), 'born': self.born, 'reason': reason}

    def _hold(self, body):
        seen = body.get('last_seen', 0)
        self.finished = [row for row in self.finished if row[0] > seen]
        self._extend(body)
        until = time.monotonic() + min(body.get('wait_ms', 0), 2000) / 1000
        while self.is_up and not self.finished:
            left = until - time.monotonic()
            if left <= 0:
                break
            self._condition.wait(left)
        if not self.is_up or self.is_cut:
            return None, {}
        return 200, {
            'wall_ms': self.clock_ms(), 'born': self.born,
            'running': [[task, run['run'], '', 100, 5] for task, run in self.running.items()],
            'finished': self.finished[:500],
        }

    def _run_start(self, body):
        task, number = body['task'], body['run']
        present = self.running.get(task)
        if present is not None and present['run'] == number:
            return 200, {'wall_ms': self.clock_ms(), 'born': self.born}
        if body['expires_ms'] <= self.clock_ms():
            return self._refuse('late')
        self._extend(body)
        if number <= self._highest.get(task, 0) or present is not None:
            return self._refuse('old')
        used = sum(run['cpu'] for run in self.running.values())
        seconds, cpu = self.work_s(task, body['spec'])
        if used + cpu > self.capacity['cpu']:
            return self._refuse('room')
        ends = None if seconds is None else time.monotonic() + seconds
        self.running[task] = {'run': number, 'ends': ends, 'how': 'done', 'cpu': cpu}
        self.starts.append((time.monotonic(), task, number))
        self.record(self.name, f'started {task} run {number}')
        return 200, {'wall_ms': self.clock_ms(), 'born': self.born}

    def _run_stop(self, body):
        task, number = body['task'], body['run']
        run = self.running.get(task)
        if run is not None and run['run'] == number:
            run['ends'] = time.monotonic() + STOP_S
            run['how'] = 'stopped'
        elif run is None:
            self._highest[task] = max(self._highest.get(task, 0), number)
        return 200, {'wall_ms': self.clock_ms(), 'born': self.born}


class Cloud:
    """The machines; ``revive`` makes a machine's next executor in a pool.

    A machine of the standby pool is off and has no executor.
    """

    def __init__(self, host, record, revive=None, standby='', upkeep_s=2.0, move_s=1.5):
        self.record, self.revive, self.standby = record, revive, standby
        self.upkeep_s, self.move_s = upkeep_s, move_s
        self.executors = []
        self.upkeeps = []
        self._off = set()
        self._away = {}
        self._done = set()
        self._lock = threading.Lock()
        self.server = serve(self, host)
        self.address = f'{host}:{self.server.server_address[1]}'

    def newest(self, machine):
        found = [one for one in self.executors if one.machine == machine]
        return found[-1] if found else None

    def _state(self, one):
        if one.machine in self._away:
            return self._away[one.machine]
        return 'up' if one.is_up or one.machine in self._off else 'down'

    def _pool(self, one):
        return self.standby if one.machine in self._off else one.service

    def handle(self, method, path, body, headers):
        with self._lock:
            if path.startswith('/machines'):
                names = dict.fromkeys(one.machine for one in self.executors)
                rows = [self.newest(name) for name in names]
                self.record('cloud', 'GET /machines: ' + ' '.join(
                    f'{one.machine}={self._pool(one)},{self._state(one)}' for one in rows))
                return 200, {'machines': [
                    {'machine': one.machine, 'pool': self._pool(one),
                     'state': self._state(one), 'zone': 'a', 'labels': one.labels,
                     'capacity': one.capacity, 'id': one.name}
                    for one in rows
                ], 'next_token': ''}
            code, answer = self._order(path, body)
            self.record('cloud', f'{method} {path} {json.dumps(body)} -> {code} {answer}')
            return code, answer

    def _order(self, path, body):
        machine = body['machine']
        one = self.newest(machine)
        if one is None:
            return 400, {}
        is_upkeep = path == '/machine-upkeep'
        if is_upkeep and (body['wave'], machine) in self._done:
            return 200, {}
        if not is_upkeep and self._pool(one) == body['pool']:
            return 200, {}
        if self._state(one) != 'up' or one.state == 'draining':
            return 409, {'reason': 'busy'}
        is_off = machine in self._off
        if is_upkeep:
            self._done.add((body['wave'], machine))
            self.upkeeps.append((time.monotonic(), machine, body['wave']))
            self._away[machine] = 'upkeep'
            pool, seconds = one.service, self.upkeep_s
        else:
            self._off.discard(machine)
            self._away[machine] = 'moving'
            pool, seconds = body['pool'], self.move_s
            is_off = pool == self.standby
        thread = threading.Thread(target=self._carry_out, args=(one, pool, is_off, seconds))
        thread.daemon = True
        thread.start()
        return 200, {}

    def _carry_out(self, one, pool, is_off, seconds):
        if one.is_up:
            one.crash()
        time.sleep(seconds)
        with self._lock:
            del self._away[one.machine]
            if is_off:
                self._off.add(one.machine)
            elif self.revive is not None:
                self.executors.append(self.revive(one, pool))
