"""A start on an idle executor holds its lease longer than the next leader waits."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins2'))

from deployment import TROUBLE, Deployment, run_case  # noqa: E402
from workers import Cloud, Executor  # noqa: E402

HOST, PREFIX, KEY = 'pule25.example', '/puxa400/', 'sjnbanfqasnmgkcuyj8p'
EXECUTORS, IDLE_S, CUT_S, DARK_S = 8, 92, 8.0, 3.0
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
    # The clocks of the executors are 2% slow.
    executors = [
        Executor(f'i-{n}', 'huvo11a', deployment.worker_host, deployment.controls, record,
                 lambda task, spec: (float(spec), 16000), capacity=CAPACITY,
                 rack=f'r{n // 4}', rate=0.98)
        for n in range(EXECUTORS)
    ]
    cloud.executors.extend(executors)
    deployment.call_control('PUT', '/config', CONFIG)
    time.sleep(IDLE_S)
    leader = deployment.find_leader()
    job = {'spec': '30', 'phases': [{'count': 1, 'cpu': 16000, 'mem_mb': 256, 'est_ms': 30000}]}
    deployment.submit(PREFIX + '5c0e7a21d94b36f8', HOST, KEY, job)
    until = time.monotonic() + 2
    while not any(one.starts for one in executors) and time.monotonic() < until:
        time.sleep(0.002)
    first = next(one for one in executors if one.starts)
    if TROUBLE:
        time.sleep(0.015)
        first.is_cut = True
        record(first.name, 'cut off')
        deployment.signal(leader, signal.SIGKILL)
    broken = []
    begun = time.monotonic()
    until = begun + CUT_S
    while time.monotonic() < until and not broken:
        for one in executors:
            if one is not first and one.running and first.running:
                (task, run), = one.running.items()
                broken.append(f'TWICE: {task} runs as run 1 on {first.name} and as run '
                              f'{run["run"]} on {one.name}, both up')
        if TROUBLE and deployment.processes[leader].poll() is not None:
            if time.monotonic() > begun + DARK_S:
                deployment.start_process(leader, 'control')
        time.sleep(0.005)
    while first.running and time.monotonic() < until:
        time.sleep(0.01)
    record('case', f'starts: {[(one.name, one.starts) for one in executors if one.starts]}, '
                   f'ends: {first.ends}')
    first.is_cut = False
    return broken


run_case(main)
