"""More than 500 ends wait on an executor when the leader is lost."""

import asyncio
import os
import sys
from pathlib import Path

_FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent / 'standins'))

import checks  # noqa: E402
import deployment  # noqa: E402
import executor  # noqa: E402

_JOBS = 32
_COUNT = 20
_CPU = 100
_MEM_MB = 50
_WORK_S = 2.6
_PAUSE_S = 0.04
_DOWN_S = 1.8
_END_S = 90.0
_HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def _make_job():
    step = {'count': _COUNT, 'cpu': _CPU, 'mem_mb': _MEM_MB, 'est_ms': 4000}
    return {'spec': 'x', 'phases': [step]}


async def _submit(deployed, job):
    """Hand a job in, as a client does: again after no clear answer."""
    path = deployment.PREFIX + job
    for turn in range(20):
        entry = deployed.entries[turn % len(deployed.entries)]
        code, _ = await deployed.call(entry, 'POST', path, _make_job())
        if code == 200:
            return
        await asyncio.sleep(0.1)
    raise TimeoutError(f'Job {job} was not accepted.')


async def _wait_done(deployed, job):
    while deployed.record.now_s() < _END_S:
        entry = deployed.entries[0]
        path = deployment.PREFIX + job
        _, found = await deployed.call(entry, 'GET', path)
        if isinstance(found, dict) and found.get('state') == 'done':
            return
        await asyncio.sleep(0.2)
    raise TimeoutError(f'Job {job} was not done.')


async def _play(record):
    deployed = deployment.Deployment(record)
    jobs = [f'5c0e7a21d94b{number:04x}' for number in range(_JOBS)]
    sizes = {job: [(_CPU, _MEM_MB)] for job in jobs}
    workers = [
        executor.Executor(
            deployed, number, deployed.front, lambda task: _WORK_S, sizes
        )
        for number in range(4)
    ]
    try:
        deployed.start()
        first = deployed.controls[0]
        config = deployment.make_config()
        await deployed.wait_for(200, first, 'PUT', '/config', config)
        for worker in workers:
            await worker.start()
        await deployed.wait_for(
            200, deployed.entries[0], 'GET', deployment.PREFIX
        )
        await asyncio.sleep(3)
        submits = []
        for job in jobs:
            submits.append(asyncio.create_task(_submit(deployed, job)))
            await asyncio.sleep(_PAUSE_S)
        await asyncio.gather(*submits)
        while not any(worker.ended for worker in workers):
            most = max(len(worker.running) for worker in workers)
            if most > 600:
                break
            await asyncio.sleep(0.02)
        record.write('most running', count=most)
        if _HAS_TROUBLE:
            deployed.kill(deployed.controls)
            await asyncio.sleep(_DOWN_S)
            deployed.start(deployed.controls)
        for job in jobs:
            await _wait_done(deployed, job)
        await asyncio.sleep(2)
    finally:
        for worker in workers:
            worker.close()
        deployed.close()


def main():
    """Play the case, and return the exit code."""
    record = deployment.Record(_FOLDER / 'record.txt')
    try:
        asyncio.run(_play(record))
    except Exception as error:
        record.write('not run', error=repr(error))
        return 2
    found = checks.find_twice(record.lines)
    for line, why, other in found[:10]:
        record.write('TWICE', start=line, why=why, other=other)
    record.write('result', broken=len(found))
    return 1 if found else 0


if __name__ == '__main__':
    sys.exit(main())
