"""A stand-in executor that follows the page on the protocol."""

import asyncio
import time

import deployment
import web

_MS = 1000
_ENDS_AT_A_TIME = 500
_HOLD_MAX_MS = 10_000
_BEAT_S = 1.5
_RETRY_S = 0.1
_STOP_S = 0.05
_WAIT_MAX_MS = 2000
_POLL_S = 0.02


class _Run:
    def __init__(self, number, step_size, timer):
        self.number = number
        self.size = step_size
        self.timer = timer
        self.since_s = time.monotonic()
        self.is_stopping = False


class Executor:
    """Run work items under leases and fences, and report about itself.

    ``get_work_s(task)`` tells how long a work item works, None: until it is
    stopped. ``sizes`` maps a job's id to the cpu and memory of each step.
    ``clock_rate`` is the speed of the steady clock; the page allows 0.98.
    While ``is_cut``, nothing goes in or out, and what runs goes on.
    """

    def __init__(self, deployed, number, port, get_work_s, sizes, **facts):
        self.id = f'i-{number:08x}'
        self.machine = f'm-{number:05x}'
        self.host = f'{deployed.subnet}.{100 + number}'
        self.address = f'{self.host}:{port}'
        self.is_unhealthy = False
        self.is_cut = False
        self.clock_rate = 1.0
        self.capacity = {'cpu': 64_000, 'mem_mb': 131_072, 'gpu': 0}
        self.labels = ['a', f'r1-{number // 4}']
        self.service = deployment.SERVICE
        self.zone = 'rennes'
        self.__dict__.update(facts)
        self.is_up = False
        self.running = {}
        self._deployed = deployed
        self._record = deployed.record
        self._port = port
        self._get_work_s = get_work_s
        self._sizes = sizes
        self._tasks = []
        self._server = None
        self._turn = int(self.id[2:], 16)
        self._forget()

    async def start(self):
        """Serve orders and send status reports until stopped."""
        self._forget()
        self._server = await web.serve(self.host, self._port, self._handle)
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._watch_lease()),
        ]
        self.is_up = True
        self._record.write('executor starts', executor=self.id)

    def close(self):
        """Stop at once; what runs is gone."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for run in self.running.values():
            if run.timer is not None:
                run.timer.cancel()
        if self.is_up:
            self.is_up = False
            self._record.write(
                'executor ends', executor=self.id, gone=list(self.running)
            )
        self.running = {}

    async def drain(self, serve_s):
        """Report that this executor drains; end ``serve_s`` after that.

        It serves on after the confirmation, says that it leaves, and ends.
        """
        self.state = 'draining'
        while not await self._report():
            await asyncio.sleep(_RETRY_S)
        await asyncio.sleep(serve_s)
        await self._call('DELETE')
        self.close()

    def _forget(self):
        """Begin a life that holds and knows nothing of before."""
        self.born_ms = int(time.time() * _MS)
        self.state = 'ready'
        self.running = {}
        self.ended = []
        self._born_s = time.monotonic()
        self._last_runs = {}
        self._position = 0
        self._fence = 0
        self._expires_ms = 0
        self._seq = 0
        self._has_end = asyncio.Event()

    def get_clock_ms(self):
        """Return the time on this executor's own steady clock."""
        age_s = (time.monotonic() - self._born_s) * self.clock_rate
        return int(age_s * _MS) + 1000

    async def _beat(self):
        while True:
            while self.is_cut:
                await asyncio.sleep(_POLL_S)
            pause_s = _RETRY_S
            while not await self._report():
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, _BEAT_S)
            await asyncio.sleep(_BEAT_S)

    async def _report(self):
        """Send a status report; return whether it was confirmed."""
        self._seq += 1
        state = self.state
        report = {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': state,
            'cold_left_ms': 0,
            'capacity': self.capacity,
            'labels': self.labels,
            'machine': self.machine,
            'wall_ms': self.get_clock_ms(),
            'seq': self._seq,
            'born': self.born_ms,
        }
        if state == 'draining':
            report['remaining_ms'] = 2000
        is_confirmed = await self._call('PUT', report)
        self._record.write(
            'report',
            executor=self.id,
            state=state,
            born=self.born_ms,
            confirmed=is_confirmed,
        )
        return is_confirmed

    async def _call(self, method, report=None):
        """Call each control process once, until one confirms."""
        controls = self._deployed.controls
        for _ in controls:
            ip = controls[self._turn % len(controls)]
            try:
                code, _ = await web.call(
                    f'{ip}:{self._deployed.control}',
                    method,
                    f'/instances/{self.id}',
                    report,
                    timeout_s=1.0,
                )
            except (OSError, TimeoutError):
                code = 0
            if 200 <= code < 300:
                return True
            self._turn += 1
        return False

    async def _watch_lease(self):
        is_held = False
        while True:
            await asyncio.sleep(0.01)
            was_held = is_held
            is_held = self.get_clock_ms() < self._expires_ms
            if was_held and not is_held:
                self._record.write('lease lapsed', executor=self.id)
                for task in tuple(self.running):
                    self._end(task, 'lapsed')

    async def _handle(self, request):
        while self.is_cut:
            await asyncio.sleep(_POLL_S)
            if not self.is_cut:
                # What a cut held up is lost.
                raise ConnectionError
        code, body = await self._respond(request)
        if self.is_cut:
            raise ConnectionError
        return code, body

    async def _respond(self, request):
        if request.method == 'GET':
            return (503 if self.is_unhealthy else 200), {}
        if request.headers.get('x-expect-instance', self.id) != self.id:
            return 421, None
        body = request.read_json()
        answer = await self._answer(request.path, body)
        return answer

    async def _answer(self, path, body):
        if path == '/run-start' and self.is_unhealthy:
            self._record.write(
                'start refused',
                executor=self.id,
                task=body['task'],
                run=body['run'],
                status=503,
            )
            return 503, {'wall_ms': self.get_clock_ms()}
        fence = body.get('fence', 0)
        if fence < self._fence:
            return self._refuse('fence')
        self._fence = fence
        if path == '/run-start':
            return self._start(body)
        if path == '/run-stop':
            return self._stop(body)
        if path == '/hold':
            return await self._hold(body)
        return 200, {'wall_ms': self.get_clock_ms()}

    def _refuse(self, reason):
        return 409, {'wall_ms': self.get_clock_ms(), 'reason': reason}

    def _extend(self, expires_ms):
        most_ms = self.get_clock_ms() + _HOLD_MAX_MS
        self._expires_ms = max(self._expires_ms, min(expires_ms, most_ms))

    def _start(self, body):
        task, number = body['task'], body['run']
        if body['expires_ms'] <= self.get_clock_ms():
            return self._refuse('late')
        self._extend(body['expires_ms'])
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, {'wall_ms': self.get_clock_ms()}
        if number <= self._last_runs.get(task, 0):
            return self._refuse('old')
        job, _, step, _ = task.rsplit('.', 3)
        size = self._sizes[job][int(step)]
        used = [run.size for run in self.running.values()]
        if (
            sum(one[0] for one in used) + size[0] > self.capacity['cpu']
            or sum(one[1] for one in used) + size[1] > self.capacity['mem_mb']
        ):
            return self._refuse('room')
        work_s = self._get_work_s(task)
        timer = None
        if work_s is not None:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(work_s, self._end, task, 'done')
        self._last_runs[task] = number
        self.running[task] = _Run(number, size, timer)
        self._record.write(
            'start',
            executor=self.id,
            task=task,
            run=number,
            clock_ms=self.get_clock_ms(),
            expires_ms=body['expires_ms'],
        )
        return 200, {'wall_ms': self.get_clock_ms()}

    def _stop(self, body):
        task, number = body['task'], body['run']
        run = self.running.get(task)
        self._last_runs[task] = max(self._last_runs.get(task, 0), number)
        if run is not None and run.number == number and not run.is_stopping:
            run.is_stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(_STOP_S, self._end, task, 'stopped')
        return 200, {'wall_ms': self.get_clock_ms()}

    async def _hold(self, body):
        seen = body['last_seen']
        if any(end[0] <= seen for end in self.ended):
            self._record.write('ends seen', executor=self.id, last_seen=seen)
        self.ended = [end for end in self.ended if end[0] > seen]
        if 'expires_ms' in body:
            self._extend(body['expires_ms'])
        wait_ms = min(body.get('wait_ms', 0), _WAIT_MAX_MS)
        if not self.ended and wait_ms:
            self._has_end.clear()
            try:
                async with asyncio.timeout(wait_ms / _MS):
                    await self._has_end.wait()
            except TimeoutError:
                pass
        listed = self.ended[:_ENDS_AT_A_TIME]
        if listed:
            self._record.write(
                'ends listed',
                executor=self.id,
                listed=len(listed),
                kept=len(self.ended),
                first=listed[0][0],
                last=listed[-1][0],
            )
        rows = [
            [task, run.number, '', 100, 0]
            for task, run in self.running.items()
        ]
        return 200, {
            'wall_ms': self.get_clock_ms(),
            'born': self.born_ms,
            'running': rows,
            'finished': listed,
        }

    def _end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self._position += 1
        self.ended.append([self._position, task, run.number, how, ''])
        self._record.write(
            'end',
            executor=self.id,
            n=self._position,
            task=task,
            run=run.number,
            how=how,
        )
        self._has_end.set()
