"""Generate the traffic of callers, workers and operators during faults."""

import asyncio
import time
from random import Random
from typing import Any

from sardinemast.conf import Address
from soak.calls import Caller, Response
from soak.instances import POOL, STANDBY, Instances
from soak.ledger import Ledger, Step
from soak.workers import Worker

QUEUE = '/seats/'
TEAMS = ('breizh', 'algo')
_DONE = 200
_GONE = 410
_REFUSED = frozenset((429, 503))
_INVALID = range(400, 500)
_RETRY_INTERVAL_S = 0.25
_PAUSE_S = (0.02, 0.5)
_TASK_MS = (50, 900)
_MILLICORES = (500, 2000)
_CANCELLATION_SHARE = 0.1
_LONG_RUNNING_COUNT = 4
_LONG_RUNNING_INTERVAL_S = (0.5, 3.0)
_LONG_RUNNING_MS = (2000, 6000)
# Longer than the lease of a run, so that a run may outlast it.
_LONG_TASK_MS = (8000, 12_000)
_LONG_TASK_INTERVAL_S = (0.5, 2.0)
_LONG_TASK_MILLICORES = 300
_ANNOUNCE_INTERVAL_S = 0.5
_CHANGE_INTERVAL_S = (0.4, 1.5)
_TRIES = 40
# Rate that a team is owed; an overloading team exceeds it.
_JOBS_PER_S = 4
_REVOCATION_SHARE = 0.15
_INVALID_SHARE = 0.15
_WAVE_INTERVAL_S = (3.0, 6.0)
_WAVE_CAP = 2
_WAVE_DEADLINE_S = 10


class Catalog:
    """Store the configuration that operators want, with its version."""

    def __init__(self, caps: dict[str, int]) -> None:
        # A version must be higher than that of an empty fleet to take effect.
        self.version = 1
        self.keys = {team: [f'{team}-0'] for team in TEAMS}
        self.revoked: dict[str, list[str]] = {team: [] for team in TEAMS}
        self._caps = caps

    def change(self, random: Random) -> list[str]:
        """Raise the version, and return the keys that the new one revokes."""
        self.version += random.randint(1, 3)
        if random.random() >= _REVOCATION_SHARE:
            return []
        team = random.choice(TEAMS)
        revoked_keys = self.keys[team]
        self.keys[team] = [f'{team}-{self.version}']
        self.revoked[team].extend(revoked_keys)
        return revoked_keys

    def make_body(self) -> dict[str, Any]:
        """Return the request body with the whole configuration."""
        route = {
            'name': 'seats',
            'host': 'h.example',
            'prefix': QUEUE,
            'service': POOL,
            'timeout_ms': 3000,
            'slo_ms': 600,
            'attempts': 3,
            'stretch': 2,
        }
        return {
            'version': self.version,
            'routes': [route],
            'services': [{'name': POOL}, {'name': STANDBY, 'standby': True}],
            'tenants': [
                {
                    'name': team,
                    'keys': keys,
                    'cap': {'cpu': self._caps[team]},
                    'weight': _JOBS_PER_S,
                }
                for team, keys in self.keys.items()
            ],
        }


class Traffic:
    """Run callers and operators until ``is_over``, and workers until cancelled.

    Each request goes to a random address. Submissions, cancellations and
    configuration changes are retried until the outcome is clear.
    """

    def __init__(
        self,
        ledger: Ledger,
        catalog: Catalog,
        entries: tuple[Address, ...],
        controls: tuple[Address, ...],
        random: Random,
    ) -> None:
        self.is_over = False
        self.overloading_team = ''
        self.ledger = ledger
        self._catalog = catalog
        self._entries = entries
        self._controls = controls
        self._random = random
        self._job_count = 0

    async def submit_jobs(self) -> None:
        """Submit jobs one by one, and read or cancel each, as a caller."""
        caller = Caller()
        while not self.is_over:
            pause_s = self._random.uniform(*_PAUSE_S)
            await asyncio.sleep(0 if self.overloading_team else pause_s)
            name = await self._submit(caller)
            if name and self._random.random() < _CANCELLATION_SHARE:
                await self._cancel(caller, name)
            elif name:
                await self._poll_state(caller, name)
        caller.close()

    async def submit_long_running(self) -> None:
        """Submit jobs whose tasks run until they are cancelled."""
        caller = Caller()
        for _ in range(_LONG_RUNNING_COUNT):
            if self.is_over:
                break
            millicores = self._random.randint(*_MILLICORES)
            step = Step(2, millicores, is_long_running=True)
            name = await self._submit(caller, (step,), _LONG_RUNNING_MS)
            if name and self._random.random() < _CANCELLATION_SHARE:
                await self._cancel(caller, name)
            await asyncio.sleep(self._random.uniform(*_LONG_RUNNING_INTERVAL_S))
        caller.close()

    async def submit_long_tasks(self) -> None:
        """Submit jobs whose tasks last longer than a lease."""
        caller = Caller()
        while not self.is_over:
            await asyncio.sleep(self._random.uniform(*_LONG_TASK_INTERVAL_S))
            steps = (Step(2, _LONG_TASK_MILLICORES),)
            await self._submit(caller, steps, _LONG_TASK_MS)
        caller.close()

    async def read_all_states(self) -> None:
        """Read the states of all accepted jobs that are not cancelled."""
        caller = Caller()
        for name in self.ledger.list_owed():
            if not await self._poll_state(caller, name):
                self.ledger.note_unreadable(name)
        caller.close()

    async def announce(
        self, worker: Worker, interval_s: float = _ANNOUNCE_INTERVAL_S
    ) -> None:
        """Announce a worker until cancelled.

        It calls the control process that last accepted an announcement.
        """
        caller = Caller()
        accepting: Address | None = None
        while True:
            await asyncio.sleep(interval_s)
            worker.check_lease()
            incarnation = worker.incarnation
            if incarnation is None or worker.is_silent:
                continue
            body = worker.describe()
            address = accepting or self._random.choice(self._controls)
            response = await caller.call(
                address,
                'PUT',
                f'/instances/{incarnation.name}',
                body,
            )
            accepting = None
            if response.code == _DONE:
                accepting = address
                if body['state'] == 'draining':
                    self.ledger.note_draining(
                        incarnation.boot, time.monotonic()
                    )

    async def check_leases(self, worker: Worker) -> None:
        """Make a worker end its tasks once its lease has expired.

        It returns only when it is cancelled.
        """
        while True:
            await asyncio.sleep(_PAUSE_S[0])
            worker.check_lease()

    async def configure(self) -> None:
        """Change the configuration repeatedly, as an operator."""
        caller = Caller()
        while not self.is_over:
            await asyncio.sleep(self._random.uniform(*_CHANGE_INTERVAL_S))
            if self._random.random() < _INVALID_SHARE:
                await self._send_invalid_catalog(caller)
            revoked_keys = self._catalog.change(self._random)
            await self.put_catalog(caller, revoked_keys)
            await self.read_catalog(caller)
        caller.close()

    async def put_catalog(
        self, caller: Caller, revoked_keys: list[str]
    ) -> bool:
        """Send the configuration until it is confirmed or the tries run out."""
        body = self._catalog.make_body()
        for _ in range(_TRIES):
            response = await self._call_control(caller, 'PUT', '/config', body)
            if response.code == _DONE:
                now_s = time.monotonic()
                self.ledger.note_version(body['version'], now_s)
                for key in revoked_keys:
                    self.ledger.note_revoked(key, now_s)
                return True
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return False

    async def read_catalog(self, caller: Caller) -> int:
        """Return the version that a control process serves, 0 on an error."""
        response = await self._call_control(caller, 'GET', '/config')
        if response.code != _DONE:
            return 0
        version = int(response.body['version'])
        self.ledger.note_read(version, response.sent_s)
        return version

    async def maintain(self, instances: Instances) -> None:
        """Start one maintenance wave after the other, as an operator."""
        caller = Caller()
        wave = 0
        while not self.is_over:
            await asyncio.sleep(self._random.uniform(*_WAVE_INTERVAL_S))
            wave += 1
            names = sorted(instances.pools)
            chosen = self._random.sample(names, len(names) // 2)
            instances.maintained[wave] = set()
            instances.caps[wave] = _WAVE_CAP
            await self._run_wave(caller, wave, chosen, instances)
        caller.close()

    async def _run_wave(
        self,
        caller: Caller,
        wave: int,
        chosen: list[str],
        instances: Instances,
    ) -> None:
        body = {
            'wave': wave,
            'machines': chosen,
            'deadline_s': _WAVE_DEADLINE_S,
            'cap': _WAVE_CAP,
        }
        while not self.is_over:
            response = await self._call_control(
                caller, 'POST', '/wave-start', body
            )
            if response.code == _DONE:
                self.ledger.note_wave_begun()
                break
            await asyncio.sleep(_RETRY_INTERVAL_S)
        else:
            return
        for _ in range(_TRIES):
            read = await self._call_control(caller, 'GET', f'/wave-get/{wave}')
            if read.code == _GONE:
                self.ledger.note_wave_unknown(wave)
                return
            if read.code == _DONE and read.body['state'] == 'done':
                missing = set(chosen) - instances.maintained[wave]
                self.ledger.note_wave_done(wave, missing)
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _send_invalid_catalog(self, caller: Caller) -> None:
        body = self._catalog.make_body()
        body['version'] += 1
        body['routes'][0]['service'] = 'nobody'
        response = await self._call_control(caller, 'PUT', '/config', body)
        if response.code == _DONE:
            self.ledger.broken.append(
                'CONFIG: an invalid configuration is confirmed.'
            )

    async def _submit(
        self,
        caller: Caller,
        chosen_steps: tuple[Step, ...] = (),
        durations_ms: tuple[int, int] = _TASK_MS,
    ) -> str:
        """Submit a job until it is accepted or refused.

        Return its name, or an empty string if it was not accepted. Some
        submissions use a revoked key.
        """
        self._job_count += 1
        name = f'{self._job_count:016x}'
        team = self._random.choice(TEAMS)
        team = self.overloading_team or team
        keys = self._catalog.keys[team] + self._catalog.revoked[team]
        key = self._random.choice([*keys, keys[0], keys[0]])
        steps = chosen_steps or self._make_steps()
        job = self._make_job(steps, self._random.randint(*durations_ms))
        self.ledger.note_submitted(name, team, steps)
        for _ in range(_TRIES):
            response = await self._call_entry(caller, 'POST', name, job, key)
            self.ledger.note_response(name, response.code, time.monotonic())
            self.ledger.note_key_used(key, response.code, response.sent_s)
            if response.code == _DONE:
                return name
            if response.code in _REFUSED or response.code in _INVALID:
                return ''
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return ''

    async def _poll_state(self, caller: Caller, name: str) -> bool:
        """Read the state of a job until it has begun."""
        for _ in range(_TRIES):
            # A configuration may revoke a key between two tries.
            key = self._get_key(name)
            response = await self._call_entry(caller, 'GET', name, None, key)
            if response.code in {_DONE, _GONE}:
                state = response.body['state'] if response.body else ''
                self.ledger.note_state(name, response.code, state)
                if state != 'queued':
                    return True
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return False

    async def _cancel(self, caller: Caller, name: str) -> None:
        for _ in range(_TRIES):
            key = self._get_key(name)
            response = await self._call_entry(caller, 'DELETE', name, None, key)
            if response.code in {_DONE, _GONE}:
                self.ledger.note_cancelled(name, time.monotonic())
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    def _get_key(self, name: str) -> str:
        return self._catalog.keys[self.ledger.jobs[name].team][0]

    def _make_steps(self) -> tuple[Step, ...]:
        random = self._random
        first = Step(random.randint(1, 4), random.randint(*_MILLICORES))
        if random.choice((True, False)):
            return (first,)
        second = Step(random.randint(1, 2), first.millicores, (0,))
        return (first, second)

    def _make_job(
        self, steps: tuple[Step, ...], duration_ms: int
    ) -> dict[str, Any]:
        outcome = 'failed' if steps[0].is_long_running else 'done'
        return {
            'spec': f'{duration_ms}:{steps[0].millicores}:{outcome}',
            'phases': [
                {
                    'count': step.task_count,
                    'cpu': step.millicores,
                    'mem_mb': 8,
                    'est_ms': duration_ms,
                    'deps': list(step.required_steps),
                    'long_running': step.is_long_running,
                }
                for step in steps
            ],
        }

    async def _call_entry(
        self,
        caller: Caller,
        method: str,
        name: str,
        body: Any,
        key: str,
    ) -> Response:
        address = self._random.choice(self._entries)
        return await caller.call(address, method, f'{QUEUE}{name}', body, key)

    async def _call_control(
        self,
        caller: Caller,
        method: str,
        path: str,
        body: Any = None,
    ) -> Response:
        address = self._random.choice(self._controls)
        return await caller.call(address, method, path, body)
