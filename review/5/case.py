"""A status report of another writer on a machine makes work run twice."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins2'))

from deployment import TROUBLE, Deployment, run_case  # noqa: E402
from workers import Cloud, Executor  # noqa: E402

HOST, PREFIX, KEY = 'pule25.example', '/puxa400/', 'sjnbanfqasnmgkcuyj8p'
EXECUTORS = 4
CAPACITY = {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0}
CONFIG = {
    'version': 3,
    'routes': [
        {'name': 'r-iikdrbn', 'host': HOST, 'prefix': PREFIX, 'kind': 'unsafe',
         'timeout_ms': 3000, 'slo_ms': 600, 'prio': 0,
         'service': 'huvo11a', 'attempts': 2, 'stretch': 1.6, 'public': False},
    ],
    'services': [
        {'name': 'huvo11a', 'health_path': '/healthz', 'max_conns': 64, 'proto': 'h1',
         'tls': False, 'rejects_overload': True, 'standby': False},
    ],
    'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144,
               'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
    'tenants': [{'name': 'cugo130', 'keys': [KEY], 'prio': 1, 'weight': 18,
                 'cap': {'cpu': 327433, 'mem_mb': 1219485, 'gpu': 0}}],
}


def main(record, scratch, deployments):
    deployment = Deployment(record, scratch)
    deployments.append(deployment)
    cloud = Cloud(deployment.worker_host, record)
    deployment.cloud = cloud.address
    deployment.start()

    def make(number, service='huvo11a', **options):
        return Executor(f'i-{service}-{number}', service, deployment.worker_host,
                        deployment.controls, record, lambda task, spec: (float(spec), 16000),
                        capacity=CAPACITY, rack=f'r{number}', machine=f'm-{number}', **options)

    executors = [make(number) for number in range(EXECUTORS)]
    cloud.executors.extend(executors)
    deployment.call_control('PUT', '/config', CONFIG)
    time.sleep(3)
    job = {'spec': '30', 'phases': [{'count': 2, 'cpu': 16000, 'mem_mb': 256, 'est_ms': 30000}]}
    deployment.submit(PREFIX + '5c0e7a21d94b36f8', HOST, KEY, job)
    time.sleep(3)
    busy = [number for number, one in enumerate(executors) if one.running]
    if len(busy) != 2:
        raise RuntimeError(f'{len(busy)} executors are busy, not two.')
    if TROUBLE:
        # Fields are missing (capacity, labels), and no configuration names the service.
        make(busy[0], 'zzz0', omitted=('capacity', 'labels'))
    broken = []
    until = time.monotonic() + 10
    while time.monotonic() < until and not broken:
        runs = [(task, run['run'], one.name) for one in executors
                for task, run in list(one.running.items())]
        for task, number, name in runs:
            others = [one for one in runs if one[0] == task and one[1] > number]
            if others:
                broken.append(f'TWICE: {task} runs as run {number} on {name} and as run '
                              f'{others[0][1]} on {others[0][2]}, both up')
        time.sleep(0.01)
    record('case', f'starts: {[(one.name, one.starts) for one in executors]}')
    return broken


run_case(main)
