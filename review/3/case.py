"""Executors restart as planned while the control processes are away."""

import asyncio
import os
import sys
from pathlib import Path

_FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent / 'standins'))

import deployment  # noqa: E402
import executor  # noqa: E402

_JOB = '5c0e7a21d94b36f8'
_EXECUTORS = 4
_RESTARTED = 2
_NEXT_S = 0.3
_CPU = 5300
_MEM_MB = 17_000
_SERVE_S = 2.5
_ENDED_S = 0.5
_POWER_OFF_AFTER_S = 1.5
_POWER_OFF_S = 3.0
_WATCH_S = 25.0
_START_S = 20.0
_STEP_S = 0.05
# The rule's bounds: from 6 s after the last run of a work item that lasts, it
# is broken if for 3 s, and the 4 s before them, all is calm and it doesn't run.
_AFTER_RUN_S = 6.0
_CALM_S = 3.0 + 4.0
_HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def _make_job():
    step = {
        'count': _EXECUTORS,
        'cpu': _CPU,
        'mem_mb': _MEM_MB,
        'est_ms': 700,
        'long_running': True,
        'max_per_server': 1,
        'image': 'img-1',
    }
    return {'spec': 'x', 'phases': [step]}


async def _wait_for_all(workers):
    for _ in range(int(_START_S / _STEP_S)):
        if all(worker.running for worker in workers):
            return
        await asyncio.sleep(_STEP_S)
    raise TimeoutError('The work items did not start.')


async def _restart(worker, pause_s):
    """Restart an executor as planned, under the id that it has."""
    await asyncio.sleep(pause_s)
    await worker.drain(_SERVE_S)
    await asyncio.sleep(_ENDED_S)
    await worker.start()


async def _switch_off(deployed, record):
    """Take the power of all machines with a disk for a while."""
    await asyncio.sleep(_POWER_OFF_AFTER_S)
    deployed.kill(deployed.controls)
    await asyncio.sleep(_POWER_OFF_S)
    deployed.start(deployed.controls)
    await deployed.find_leader()
    record.write('a control process leads')


async def _play(record):
    """Return for how long the work item was owed and did not run."""
    deployed = deployment.Deployment(record)
    workers = [
        executor.Executor(
            deployed,
            number,
            deployed.front,
            lambda task: None,
            {_JOB: [(_CPU, _MEM_MB)]},
        )
        for number in range(_EXECUTORS)
    ]
    try:
        deployed.start()
        first = deployed.controls[0]
        config = deployment.make_config()
        await deployed.wait_for(200, first, 'PUT', '/config', config)
        for worker in workers:
            await worker.start()
        entry = deployed.entries[0]
        path = deployment.PREFIX + _JOB
        await deployed.wait_for(200, entry, 'GET', deployment.PREFIX)
        await deployed.wait_for(200, entry, 'POST', path, _make_job())
        await _wait_for_all(workers)
        restarted = workers[:_RESTARTED]
        restarts = [
            asyncio.create_task(_restart(worker, number * _NEXT_S))
            for number, worker in enumerate(restarted)
        ]
        while restarted[-1].state != 'draining':
            await asyncio.sleep(_STEP_S)
        if _HAS_TROUBLE:
            await _switch_off(deployed, record)
        await asyncio.gather(*restarts)
        since_s = record.now_s()
        while record.now_s() < since_s + _WATCH_S:
            if all(worker.running for worker in restarted):
                break
            await asyncio.sleep(_STEP_S)
        await deployed.call(entry, 'GET', path)
        for worker in workers:
            tasks = list(worker.running)
            record.write('runs', executor=worker.id, tasks=tasks)
        if all(worker.running for worker in restarted):
            return 0
        return record.now_s() - since_s
    finally:
        for worker in workers:
            worker.close()
        deployed.close()


def main():
    """Play the case, and return the exit code."""
    record = deployment.Record(_FOLDER / 'record.txt')
    try:
        missed_s = asyncio.run(_play(record))
    except Exception as error:
        record.write('not run', error=repr(error))
        return 2
    is_broken = missed_s > _AFTER_RUN_S + _CALM_S
    record.write('result', not_running_s=missed_s, broken=int(is_broken))
    return 1 if is_broken else 0


if __name__ == '__main__':
    sys.exit(main())
