"""A route gets another name at the same host and prefix; accepted jobs are lost."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins2'))

from deployment import TROUBLE, Deployment, run_case  # noqa: E402
from workers import Cloud, Executor  # noqa: E402

HOST, PREFIX, KEY = 'pule25.example', '/puxa400/', 'sjnbanfqasnmgkcuyj8p'
JOB = '5c0e7a21d94b36f8'
VISIBLE_S, APPLY_S, CANCEL_S, STOP_S = 3.0, 2.0, 3.0, 0.2


def make_config(version, route, timeout_ms):
    return {
        'version': version,
        'routes': [
            {'name': route, 'host': HOST, 'prefix': PREFIX, 'kind': 'unsafe',
             'timeout_ms': timeout_ms, 'slo_ms': 600, 'prio': 0,
             'service': 'huvo11a', 'attempts': 2, 'stretch': 1.6, 'public': False},
        ],
        'services': [
            {'name': 'huvo11a', 'health_path': '/healthz', 'max_conns': 64, 'proto': 'h1',
             'tls': False, 'rejects_overload': True, 'standby': False},
        ],
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144,
                   'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        'tenants': [{'name': 'cugo130', 'keys': [KEY], 'prio': 1, 'weight': 18,
                     'cap': {'cpu': 64000, 'mem_mb': 131072, 'gpu': 0}}],
    }


def main(record, scratch, deployments):
    deployment = Deployment(record, scratch)
    deployments.append(deployment)
    cloud = Cloud(deployment.worker_host, record)
    deployment.cloud = cloud.address
    deployment.start()
    executors = [
        Executor(f'i-{n}', 'huvo11a', deployment.worker_host, deployment.controls, record,
                 lambda task, spec: (None, 1000),
                 capacity={'cpu': 16000, 'mem_mb': 32768, 'gpu': 0})
        for n in range(2)
    ]
    cloud.executors.extend(executors)
    broken = []
    deployment.call_control('PUT', '/config', make_config(3, 'r-iikdrbn', 3000))
    time.sleep(3)
    path = PREFIX + JOB
    job = {'spec': 'x', 'phases': [
        {'count': 2, 'cpu': 1000, 'mem_mb': 256, 'est_ms': 700, 'long_running': True}]}
    deployment.submit(path, HOST, KEY, job)
    time.sleep(VISIBLE_S + 1)
    code, answer = deployment.call_entry('GET', path, HOST, KEY)
    if code != 200 or not any(one.running for one in executors):
        raise RuntimeError(f'The job does not run before the change: {code}.')
    change = make_config(7, 'r-x2a9hhe' if TROUBLE else 'r-iikdrbn', 2900)
    deployment.call_control('PUT', '/config', change)
    time.sleep(APPLY_S + 1)
    for _ in range(3):
        code, answer = deployment.call_entry('GET', path, HOST, KEY)
        if code == 410:
            broken.append('LOST: a GET for an accepted job that nobody cancelled is answered 410')
            break
        time.sleep(1)
    code, answer = deployment.call_entry('DELETE', path, HOST, KEY)
    if code not in (200, 410):
        raise RuntimeError(f'The cancelling was answered {code}.')
    time.sleep(CANCEL_S + STOP_S + 1)
    for one in executors:
        for task, run in list(one.running.items()):
            broken.append(f'UNASKED: {task} run {run["run"]} runs on {CANCEL_S + STOP_S} s '
                          'after the cancelling was acknowledged')
    return broken


run_case(main)
