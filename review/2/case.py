"""A leader is lost right after it gave a lease by an old clock reading."""

import asyncio
import os
import sys
from pathlib import Path

_FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent / 'standins'))

import checks  # noqa: E402
import deployment  # noqa: E402
import executor  # noqa: E402

_JOB = '5c0e7a21d94b36f8'
_CPU = 3500
_MEM_MB = 5100
_WORK_S = 20.0
_CLOCK_RATE = 0.98
_IDLE_S = 92.0
_CUT_S = 8.0
_STEP_S = 0.01
_HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def _make_job():
    step = {'count': 1, 'cpu': _CPU, 'mem_mb': _MEM_MB, 'est_ms': 20_000}
    return {'spec': 'x', 'phases': [step]}


async def _play(record):
    deployed = deployment.Deployment(record)
    workers = [
        executor.Executor(
            deployed,
            number,
            deployed.front,
            lambda task: _WORK_S,
            {_JOB: [(_CPU, _MEM_MB)]},
            clock_rate=_CLOCK_RATE,
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
        entry = deployed.entries[0]
        await deployed.wait_for(200, entry, 'GET', deployment.PREFIX)
        # Nobody asks for anything meanwhile, so that no executor is polled.
        await asyncio.sleep(_IDLE_S)
        leader = await deployed.find_leader()
        path = deployment.PREFIX + _JOB
        await deployed.wait_for(200, entry, 'POST', path, _make_job())
        while not any(worker.running for worker in workers):
            await asyncio.sleep(_STEP_S)
        busy = next(worker for worker in workers if worker.running)
        await asyncio.sleep(_STEP_S)
        if _HAS_TROUBLE:
            busy.is_cut = True
            record.write('cut', executor=busy.id)
            deployed.kill([leader])
        await asyncio.sleep(_CUT_S)
        busy.is_cut = False
        record.write('end of cut', executor=busy.id)
        await asyncio.sleep(1)
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
