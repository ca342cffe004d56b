"""Translate the platform's JSON bodies to records."""

import re

from sardinemast.dispatch import (
    ListedInstance,
    Ticket,
)
from sardinemast.jobs import (
    Advice,
    Catalog,
    JobRequest,
    Pool,
    Queue,
    Size,
    Step,
    Team,
    Worker,
)
from sardinemast.platform._decoding import check_numbers, is_number
from sardinemast.platform._job_bodies import (
    AdviceBody,
    CapacityBody,
    ConfigBody,
    JobBody,
    QueueBody,
    StepBody,
    TeamBody,
)
from sardinemast.platform._worker_bodies import (
    GrantedBody,
    HeartbeatBody,
    InstanceBody,
    WorkerCapacityBody,
)

# Each control process holds all tasks of a job, some 8 MB for this many.
_TASKS_MAX = 100_000
# A plan takes time for each step that is ready. With several thousand steps the
# leader cannot keep its term.
_STEPS_MAX = 256
_MIB_BYTES = 1024 * 1024
_PORT_MAX = 65_535
# Names and IP addresses, as they can stand in a header.
_HOST = re.compile(r'[A-Za-z0-9._:\[\]-]+')
# Far above what workers send. All of them are in the log and in each snapshot.
_WORKER_TEXT_MAX = 10_000
# What a log line shows of a text that is invalid.
_SHOWN_CHARS = 100
_READY = 'ready'
_DRAINING = 'draining'


def make_request(body: JobBody) -> JobRequest:
    """Return the job of a caller's request, or raise ``ValueError``."""
    if len(body['phases']) > _STEPS_MAX:
        raise ValueError('The job has too many steps.')
    steps = tuple(map(_make_step, body['phases']))
    if not steps or any(step.task_count < 1 for step in steps):
        raise ValueError('A job needs steps, and each step needs tasks.')
    if sum(step.task_count for step in steps) > _TASKS_MAX:
        raise ValueError('The job has too many tasks.')
    for number, step in enumerate(steps):
        if any(not 0 <= needed < number for needed in step.depends_on):
            raise ValueError('A step may depend on earlier steps only.')
    request = JobRequest(
        body.get('spec', ''),
        steps,
        body.get('times', 0),
        body.get('start_at_ms', 0),
        body.get('interval_ms', 0),
    )
    check_numbers(
        request.occurrences, request.first_due_ms, request.interval_ms
    )
    return request


def make_catalog(body: ConfigBody) -> Catalog:
    """Return the catalog of a configuration, or raise ``ValueError``."""
    check_numbers(body['version'])
    return Catalog(
        body['version'],
        tuple(map(_make_queue, body['routes'])),
        tuple(
            Pool(
                pool['name'],
                pool.get('rejects_overload', True),
                pool.get('standby', False),
            )
            for pool in body['services']
        ),
        tuple(map(_make_team, body.get('tenants', []))),
    )


def make_worker(name: str, body: HeartbeatBody) -> Worker:
    """Return the worker of a heartbeat, or raise ``ValueError``."""
    if body['state'] not in {_READY, _DRAINING}:
        state = body['state'][:_SHOWN_CHARS]
        raise ValueError(f'{state!r} is not a known worker state.')
    host, _, port = body['addr'].rpartition(':')
    if not _HOST.fullmatch(host) or not _is_port(port):
        shown = body['addr'][:_SHOWN_CHARS]
        raise ValueError(f'{shown!r} is not a valid address.')
    labels = tuple(body['labels'])
    capacity = _make_size(body['capacity'])
    if capacity.millicores <= 0:
        raise ValueError('The worker has no capacity.')
    boot_ms = body.get('born', 0)
    check_numbers(*capacity, boot_ms, body.get('wall_ms', 0), body['seq'])
    worker = Worker(
        name,
        boot_ms,
        body['addr'],
        body['service'],
        body['zone'],
        labels[1] if len(labels) > 1 else '',
        labels,
        capacity,
        body.get('machine', ''),
        body['state'] == _DRAINING,
    )
    if not name or len(repr(worker)) > _WORKER_TEXT_MAX:
        raise ValueError('The worker has no name, or one of its texts is long.')
    return worker


def make_tickets(body: GrantedBody) -> tuple[Ticket, ...]:
    """Return the tickets for the workers that may run a step."""
    return tuple(Ticket(*row) for row in body['granted'])


def make_instance(body: InstanceBody) -> ListedInstance:
    """Return an instance of the platform's list."""
    return ListedInstance(
        body['machine'],
        body['pool'],
        body['state'] == 'up',
        body['state'] == 'down',
        body.get('zone', ''),
    )


def _is_port(text: str) -> bool:
    return is_number(text) and 0 < int(text) <= _PORT_MAX


def _make_size(body: CapacityBody | WorkerCapacityBody | StepBody) -> Size:
    return Size(
        body.get('cpu', 0),
        body.get('mem_mb', 0) * _MIB_BYTES,
        body.get('gpu', 0),
    )


def _make_step(body: StepBody) -> Step:
    size = _make_size(body)
    estimate_ms = body.get('est_ms', 0)
    max_per_worker = body.get('max_per_server', 0)
    tail_latency_limit_ms = body.get('tail_latency_ms', 0)
    max_unavailable = body.get('may_miss', 0)
    check_numbers(*size, estimate_ms, max_per_worker)
    check_numbers(tail_latency_limit_ms, max_unavailable)
    return Step(
        task_count=body.get('count', 0),
        size=size,
        estimate_ms=estimate_ms,
        depends_on=tuple(body.get('deps', ())),
        can_checkpoint=body.get('checkpoints', False),
        is_gang=body.get('gang', False),
        is_same_rack=body.get('same_rack', False),
        required_label=body.get('required_label', ''),
        data_rack=body.get('affinity', ''),
        max_per_worker=max_per_worker,
        allows_speculation=body.get('speculative', False),
        is_long_running=body.get('long_running', False),
        image=body.get('image', ''),
        tail_latency_limit_ms=tail_latency_limit_ms,
        is_best_effort=body.get('fills', False),
        max_unavailable=max_unavailable,
    )


def _make_queue(body: QueueBody) -> Queue:
    check_numbers(body['timeout_ms'], body.get('slo_ms', 0))
    check_numbers(body.get('prio', 0), body.get('attempts', 1))
    check_numbers(body.get('stretch', 1))
    return Queue(
        body['name'],
        body['host'],
        body['prefix'],
        body['service'],
        body['timeout_ms'],
        body.get('slo_ms', 0),
        body.get('prio', 0),
        body.get('attempts', 1),
        body.get('stretch', 1),
        body.get('public', False),
        _make_advice(body.get('advice')),
    )


def _make_advice(body: AdviceBody | None) -> Advice | None:
    if not body:
        return None
    advice = Advice(body['decide_ms'], body['period_ms'], body['valid_ms'])
    check_numbers(*advice)
    return advice


def _make_team(body: TeamBody) -> Team:
    cap = _make_size(body.get('cap', {}))
    check_numbers(*cap, body.get('prio', 0), body.get('weight', 1))
    return Team(
        body['name'],
        tuple(body.get('keys', ())),
        body.get('prio', 0),
        body.get('weight', 1),
        cap,
        # The platform owes a team as many jobs per second as its weight.
        body.get('weight', 0),
    )
