"""Restart a worker under its name at a start, and then cut it off.

The start was meant for the boot before, whose clock was far ahead, so the
worker grants the longest lease that it can. ``python -m soak.restarts`` runs
all forms, or those that are named.
"""

import asyncio
import re
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import NamedTuple

import fire
from tornado.httputil import HTTPServerRequest

from soak.calls import Caller
from soak.ledger import Bounds, Ledger, Step, Task
from soak.site import Site, Sizes
from soak.traffic import QUEUE, TEAMS, Catalog, Traffic
from soak.workers import CAPACITY_MILLICORES, Worker

_SIZES = Sizes(controls=3, entries=1, workers=8, standby=0)
_ANNOUNCE_INTERVAL_S = 0.1
_IDLE_S = 1.0
_POLL_S = 0.005
_START_TIMEOUT_S = 20.0
# Longer than a call is late, and then a lease on the slowest clock.
_RESTART_TIMEOUT_S = 24.0
_BEFORE_CUT_S = 0.1
_AFTER_CUT_S = 0.3
_EARLIER_JOB = f'{1:016x}'
_JOB = f'{2:016x}'
_TASK = Task(_JOB, 0, 0)
_MILLICORES = 1000
_SHORT_MS = 100
_LEADER = re.compile(r'"Term (\d+): leader\."')


class Form(NamedTuple):
    """Describe how a worker restarts at a start, and what fails besides.

    The worker is cut off ``cut_s`` after it has carried the start out; with 0
    it does not answer it. The start reaches the new boot ``start_late_s`` after
    the restart, and the next poll ``poll_late_s`` after it was sent, with no
    announcement and no other poll in between. ``kill_at_s`` is when the leader
    is killed, in seconds after the start was carried out. The task lasts for
    ``task_ms``.
    """

    cut_s: float
    kill_at_s: float | None = None
    start_late_s: float = 0
    poll_late_s: float = 0
    task_ms: int = 30_000


def _list_forms() -> dict[str, Form]:
    # The late poll acknowledges an end of the boot before, by its number.
    short = Form(cut_s=3, poll_late_s=1, task_ms=_SHORT_MS)
    forms = {'short-task-late-poll': short}
    for cut_s in (0, 0.3, 1.5, 3):
        name = f'cut-{cut_s}'
        forms[name] = Form(cut_s)
        forms[f'{name}-kill-before'] = Form(cut_s, min(_BEFORE_CUT_S, cut_s))
        forms[f'{name}-kill-after'] = Form(cut_s, cut_s + _AFTER_CUT_S)
        forms[f'{name}-late-start'] = Form(cut_s, start_late_s=3)
        # Without an answer to the start, the next poll is sent after the cut.
        if cut_s:
            forms[f'{name}-late-poll'] = Form(cut_s, poll_late_s=2.5)
    return forms


FORMS = MappingProxyType(_list_forms())


async def run_form(form: Form, folder: Path) -> tuple[str, ...]:
    """Run a task under a form, and return the broken rules."""
    caps = {team: 0 for team in TEAMS}
    ledger = Ledger(Bounds(), caps)
    site = Site(folder, _SIZES, ledger, seed=0)
    traffic = Traffic(ledger, Catalog(caps), *site.get_addresses(), Random(0))
    trial = _Trial(form, site, traffic)
    try:
        await _run(trial, form, site, traffic)
    finally:
        trial.stop()
        await site.stop_all()
    return tuple(ledger.broken)


async def _run(
    trial: '_Trial', form: Form, site: Site, traffic: Traffic
) -> None:
    await site.start_all()
    trial.announce_workers()
    await _prepare_workers(site, traffic)
    trial.arm()
    step = Step(1, _MILLICORES)
    await _submit(site, traffic, _JOB, step, form.task_ms)
    await trial.wait()


async def _prepare_workers(site: Site, traffic: Traffic) -> None:
    """Let each worker have an end that the leader has acknowledged."""
    caller = Caller()
    async with asyncio.timeout(_START_TIMEOUT_S):
        while not await traffic.put_catalog(caller, []):
            await asyncio.sleep(_POLL_S)
        caller.close()
        step = Step(_SIZES.workers, CAPACITY_MILLICORES)
        await _submit(site, traffic, _EARLIER_JOB, step, _SHORT_MS)
        while not traffic.ledger.jobs[_EARLIER_JOB].is_done:
            await asyncio.sleep(_POLL_S)
    await asyncio.sleep(_IDLE_S)


class _Trial:
    """Restart the first worker that is sent a start, and cut it off."""

    def __init__(self, form: Form, site: Site, traffic: Traffic) -> None:
        self._form = form
        self._site = site
        self._traffic = traffic
        self._ledger = traffic.ledger
        self._chosen: Worker | None = None
        self._is_poll_held = False
        self._is_cut = asyncio.Event()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def announce_workers(self) -> None:
        """Announce all workers from now on."""
        for worker in self._site.workers.values():
            self._tasks[worker.instance] = asyncio.create_task(
                self._traffic.announce(worker, _ANNOUNCE_INTERVAL_S)
            )

    def arm(self) -> None:
        """Let the first worker that is sent a start restart."""
        for worker in self._site.workers.values():
            worker.intercepts.append(self._intercept)

    async def wait(self) -> None:
        """Wait until a rule is broken or the task is done or runs again."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            await self._is_cut.wait()
        due_s = time.monotonic() + _RESTART_TIMEOUT_S
        while not self._ledger.broken and not self._is_settled():
            if time.monotonic() > due_s:
                self._ledger.broken.append(f'LOST: {_TASK} does not run again.')
            await asyncio.sleep(_POLL_S)
            for worker in self._site.workers.values():
                worker.check_lease()

    def stop(self) -> None:
        """Stop all announcements and pending faults."""
        for task in self._tasks.values():
            task.cancel()

    def _is_settled(self) -> bool:
        return self._ledger.jobs[_JOB].is_done or any(
            worker.incarnation and worker.incarnation.running
            for worker in self._site.workers.values()
            if worker is not self._chosen
        )

    async def _intercept(
        self, worker: Worker, request: HTTPServerRequest
    ) -> None:
        if request.path == '/run-start' and self._chosen is None:
            self._chosen = worker
            await self._restart(worker)
        elif request.path == '/hold' and worker is self._chosen:
            await self._hold_poll()

    async def _restart(self, worker: Worker) -> None:
        form = self._form
        worker.restart()
        if form.poll_late_s:
            self._tasks[worker.instance].cancel()
        worker.is_silent = True
        await asyncio.sleep(form.start_late_s)
        worker.is_silent = not form.cut_s
        self._tasks['cut'] = asyncio.create_task(self._cut(worker))
        if form.kill_at_s is not None:
            self._tasks['kill'] = asyncio.create_task(
                self._kill(form.kill_at_s)
            )

    async def _hold_poll(self) -> None:
        if not self._is_poll_held:
            self._is_poll_held = True
            await asyncio.sleep(self._form.poll_late_s)

    async def _cut(self, worker: Worker) -> None:
        await asyncio.sleep(self._form.cut_s)
        worker.is_silent = True
        self._is_cut.set()

    async def _kill(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        processes = self._site.processes
        terms = {
            int(term): name
            for name in self._site.controls
            for term in _LEADER.findall(
                (processes.folder / f'{name}.log').read_text()
            )
        }
        processes.kill((terms[max(terms)],))


async def _submit(
    site: Site,
    traffic: Traffic,
    name: str,
    step: Step,
    task_ms: int,
) -> None:
    traffic.ledger.note_submitted(name, TEAMS[0], (step,))
    body = {
        'spec': f'{task_ms}:{step.millicores}:done',
        'phases': [
            {
                'count': step.task_count,
                'cpu': step.millicores,
                'mem_mb': 8,
                'est_ms': task_ms,
            }
        ],
    }
    caller = Caller()
    entry = site.get_addresses()[0][0]
    key = Catalog({}).keys[TEAMS[0]][0]
    async with asyncio.timeout(_START_TIMEOUT_S):
        code = 0
        while code not in range(200, 300):
            await asyncio.sleep(_POLL_S)
            response = await caller.call(
                entry, 'POST', f'{QUEUE}{name}', body, key
            )
            code = response.code
    caller.close()
    traffic.ledger.note_response(name, code)


def run_forms(*names: str, keep: str = '') -> None:
    """Run forms, by default all of them, and print the broken rules.

    Args:
        names: Forms to run.
        keep: Folder for logs and data; by default a new temporary one.

    """
    root = Path(keep or tempfile.mkdtemp(prefix='restarts-'))
    failed = 0
    for name in names or FORMS:
        folder = root / name
        folder.mkdir(parents=True)
        broken = asyncio.run(run_form(FORMS[name], folder))
        sys.stdout.write(f'{name}: {broken}\n')
        sys.stdout.flush()
        failed += bool(broken)
    sys.stdout.write(f'{failed} failed; logs are in {root}.\n')
    sys.exit(min(failed, 1))


if __name__ == '__main__':
    fire.Fire(run_forms)
