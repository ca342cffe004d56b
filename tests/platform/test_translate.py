"""Translation of valid and invalid bodies of the platform's protocol."""

from types import MappingProxyType

import msgspec
import pytest

from builders.odd_values import LONE_SURROGATE, make_nested
from sardinemast.dispatch import ReportedEnd, ReportedRun
from sardinemast.jobs import TaskKey, check_catalog
from sardinemast.platform._decoding import DECODE_ERRORS, decode
from sardinemast.platform._job_bodies import ConfigBody, JobBody
from sardinemast.platform._reports import make_worker_report, parse_task_key
from sardinemast.platform._translate import (
    make_catalog,
    make_request,
    make_worker,
)
from sardinemast.platform._worker_bodies import HeartbeatBody, WorkerReportBody

_MIB = 1024 * 1024
_HUGE = b'1' + b'0' * 400
_ROUTE = MappingProxyType(
    {
        'name': 'seats',
        'host': 'h',
        'prefix': '/s/',
        'service': 'booking',
        'timeout_ms': 3000,
    },
)


def _encode_config(**changes: object) -> bytes:
    config = {
        'version': 3,
        'routes': [dict(_ROUTE)],
        'services': [{'name': 'booking'}],
        'tenants': [{'name': 'breizh', 'keys': ['k']}],
    }
    return msgspec.json.encode({**config, **changes})


def test_job_is_translated_with_its_steps() -> None:
    """Guard against fields of a step that are lost or mixed up."""
    body = (
        b'{"spec":"x","phases":[{"count":4,"cpu":500,"mem_mb":2},'
        b'{"count":1,"deps":[0],"checkpoints":true,"gang":true,'
        b'"affinity":"r1","max_per_server":2,"long_running":true,'
        b'"fills":true,"may_miss":1,"tail_latency_ms":80}]}'
    )
    request = make_request(decode(body, JobBody))
    first, second = request.steps
    assert first.task_count == 4
    assert first.size == (500, 2 * _MIB, 0)
    assert second.depends_on == (0,)
    assert second.data_rack == 'r1'
    assert second.max_per_worker == 2
    assert second.is_long_running
    assert second.is_best_effort
    assert second.is_gang
    assert second.max_unavailable == 1
    assert second.tail_latency_limit_ms == 80


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{"spec":"x"}',
        b'{"phases":[]}',
        b'{"phases":[{"count":0}]}',
        b'{"phases":[{"count":1,"deps":[0]}]}',
        b'{"phases":[{"count":1,"deps":[-1]}]}',
        b'{"phases":[{"count":"many"}]}',
        b'\xff\xfe',
        b'{"phases":[{"count":1,"cpu":-500}]}',
        b'{"phases":[{"count":1,"cpu":%b}]}' % _HUGE,
        b'{"phases":[{"count":1,"mem_mb":%b}]}' % _HUGE,
        b'{"phases":[{"count":1,"est_ms":%b}]}' % _HUGE,
        b'{"phases":[{"count":1}],"interval_ms":%b}' % _HUGE,
        b'{"phases":[{"count":1,"max_per_server":-1}]}',
        b'{"phases":[{"count":1,"tail_latency_ms":%b}]}' % _HUGE,
        b'{"phases":[{"count":1,"may_miss":%b}]}' % _HUGE,
        b'{"phases":[{"count":1000000000}]}',
        b'{"phases":[{"count":60000},{"count":60000}]}',
        b'{"phases":[%b{"count":1}]}' % (b'{"count":1},' * 2000),
        b'{"phases":%b}' % make_nested(200_000),
        b'{"phases":[{"count":1}],"spec":%b}' % LONE_SURROGATE,
    ],
)
def test_invalid_job_is_rejected(body: bytes) -> None:
    """Reject a job with missing, mistyped or inconsistent fields.

    A size that is negative adds to the capacity of its worker, and a number
    that no float can hold ends each leader that estimates with it. Tasks that
    do not fit into memory end each process that applies the job.
    """
    with pytest.raises(DECODE_ERRORS):
        make_request(decode(body, JobBody))


@pytest.mark.parametrize(
    ('changes', 'code'),
    [
        ({'services': []}, 'jobs.E001'),
        ({'routes': [{**_ROUTE, 'timeout_ms': 0}]}, 'jobs.E002'),
        ({'routes': [dict(_ROUTE), {**_ROUTE, 'name': 'other'}]}, 'jobs.E003'),
        (
            {
                'tenants': [
                    {'name': 'a', 'keys': ['k']},
                    {'name': 'b', 'keys': ['k']},
                ],
            },
            'jobs.E004',
        ),
    ],
)
def test_invalid_configuration_is_reported(
    changes: dict[str, object],
    code: str,
) -> None:
    """Report each kind of mistake with its own error code."""
    catalog = make_catalog(decode(_encode_config(**changes), ConfigBody))
    assert [one.code for one in check_catalog(catalog)] == [code]


@pytest.mark.parametrize(
    'changes',
    [
        {'slo_ms': -1},
        {'slo_ms': int(_HUGE)},
        {'timeout_ms': int(_HUGE)},
        {'prio': -1},
        {'attempts': int(_HUGE)},
        {'stretch': -0.5},
        {'stretch': 1e300},
        {'advice': {'decide_ms': int(_HUGE), 'period_ms': 1, 'valid_ms': 1}},
    ],
)
def test_configuration_with_an_invalid_queue_is_rejected(
    changes: dict[str, object],
) -> None:
    """Guard against a duration that ends each leader that computes with it.

    The configuration is in the log, so that the next leaders end too.
    """
    config = _encode_config(routes=[{**_ROUTE, **changes}])
    with pytest.raises(DECODE_ERRORS):
        make_catalog(decode(config, ConfigBody))


@pytest.mark.parametrize(
    'changes',
    [
        {'version': int(_HUGE)},
        {'version': -1},
        {'tenants': [{'name': 'a', 'weight': -1}]},
        {'tenants': [{'name': 'a', 'weight': 1e300}]},
        {'tenants': [{'name': 'a', 'prio': int(_HUGE)}]},
        {'tenants': [{'name': 'a', 'cap': {'cpu': -1}}]},
        {'tenants': [{'name': 'a', 'cap': {'mem_mb': int(_HUGE)}}]},
    ],
)
def test_configuration_with_an_odd_number_is_rejected(
    changes: dict[str, object],
) -> None:
    """Guard against a version that none follows, and limits that none meets."""
    with pytest.raises(DECODE_ERRORS):
        make_catalog(decode(_encode_config(**changes), ConfigBody))


def test_truncated_configuration_is_rejected() -> None:
    """Guard against the loss of queues and keys to a truncated body."""
    with pytest.raises(DECODE_ERRORS):
        decode(_encode_config()[:-20], ConfigBody)


def test_heartbeat_is_translated_to_worker() -> None:
    """Read the rack from ``labels`` and the start time from ``born``."""
    body = (
        b'{"service":"booking","addr":"10.0.0.9:80","zone":"rennes",'
        b'"state":"draining","seq":4,"born":17,"machine":"m-1",'
        b'"labels":["a","r1-3"],"capacity":{"cpu":16000,"mem_mb":1}}'
    )
    worker = make_worker('i-1', decode(body, HeartbeatBody))
    assert worker.boot_ms == 17
    assert worker.rack == 'r1-3'
    assert worker.instance == 'm-1'
    assert worker.capacity == (16000, _MIB, 0)
    assert worker.is_draining


def _encode_heartbeat(**changes: object) -> bytes:
    """Return a worker's heartbeat; a field that is None is missing."""
    heartbeat = {
        'service': 's',
        'addr': '10.0.0.9:80',
        'zone': 'rennes',
        'state': 'ready',
        'seq': 1,
        'labels': ['a', 'r1-3'],
        'capacity': {'cpu': 1000, 'mem_mb': 1},
        **changes,
    }
    fields = heartbeat.items()
    return msgspec.json.encode(
        {name: field for name, field in fields if field is not None}
    )


@pytest.mark.parametrize(
    'body',
    [
        _encode_heartbeat(state='odd'),
        _encode_heartbeat(addr='nowhere'),
        _encode_heartbeat(addr='10.0.0.9:0'),
        _encode_heartbeat(addr='10.0.0.9:70000'),
        _encode_heartbeat(addr='10.0.0.9:\xb2'),
        _encode_heartbeat(addr='10.0.0.9\r\nX: y:80'),
        _encode_heartbeat(addr='\N{EURO SIGN}:80'),
        _encode_heartbeat(addr='10.0.0.9:' + '9' * 5000),
        _encode_heartbeat(addr=None),
        _encode_heartbeat(seq=int(_HUGE)),
        _encode_heartbeat(seq=-1),
        _encode_heartbeat(labels=['a', 'x' * 1_000_000]),
        _encode_heartbeat(machine='m' * 1_000_000),
        _encode_heartbeat(odd=7777).replace(b'7777', LONE_SURROGATE),
        _encode_heartbeat(odd=7777).replace(b'7777', make_nested(10_000)),
        _encode_heartbeat(seq='one'),
        _encode_heartbeat(capacity={'cpu': 1000, 'mem_mb': 1, 'gpu': -1}),
        _encode_heartbeat(capacity={'cpu': 7777, 'mem_mb': 1}).replace(
            b'7777', _HUGE
        ),
        b'[]',
        # Reports of another writer, which names no worker to use.
        _encode_heartbeat(service=None),
        _encode_heartbeat(zone=None),
        _encode_heartbeat(state=None),
        _encode_heartbeat(seq=None),
        _encode_heartbeat(labels=None),
        _encode_heartbeat(labels='a'),
        _encode_heartbeat(capacity=None),
        _encode_heartbeat(capacity={}),
        _encode_heartbeat(capacity={'mem_mb': 1}),
        _encode_heartbeat(capacity={'cpu': 1000}),
        _encode_heartbeat(capacity={'cpu': 0, 'mem_mb': 1}),
        _encode_heartbeat(capacity={'cpu': 1000.5, 'mem_mb': 1}),
    ],
)
def test_invalid_heartbeat_is_rejected(body: bytes) -> None:
    """Guard against workers that are created from malformed heartbeats.

    A worker with an address to which no connection can be opened would count
    as capacity of its pool.
    """
    with pytest.raises(DECODE_ERRORS):
        make_worker('i-1', decode(body, HeartbeatBody))


def test_worker_without_a_name_is_rejected() -> None:
    """Guard against a worker that no order can name."""
    with pytest.raises(ValueError, match='no name'):
        make_worker('', decode(_encode_heartbeat(), HeartbeatBody))


def test_heartbeat_needs_only_what_is_used() -> None:
    """Guard against a check that refuses each heartbeat, valid or not."""
    worker = make_worker('i-1', decode(_encode_heartbeat(), HeartbeatBody))
    assert worker.capacity == (1000, _MIB, 0)


def test_rows_with_invalid_task_names_are_skipped() -> None:
    """Keep the valid rows of a report that also has invalid ones."""
    body = (
        b'{"wall_ms":9,"born":5,"running":[["odd",1],["j.0.1.2",3,"c",40,7]],'
        b'"finished":[[1,"j.0.0.x",1,"done",""],[2,"j.0.0.1",1,"done","z"]]}'
    )
    report = make_worker_report(decode(body, WorkerReportBody))
    assert report.boot_ms == 5
    assert report.running == (
        ReportedRun(TaskKey('j', 0, 1, 2), 3, 'c', 40, 7),
    )
    assert report.ended == (
        ReportedEnd(2, TaskKey('j', 0, 0, 1), 1, 'done', 'z'),
    )


def test_task_name_is_parsed_back() -> None:
    """Parse job names with dots: the last three parts are numbers."""
    task = TaskKey('a.b', 1, 2, 3)
    assert parse_task_key(str(task)) == task
    assert parse_task_key('a.b.c') is None


@pytest.mark.parametrize('number', ['\N{SUPERSCRIPT TWO}', '9' * 5000])
def test_row_with_an_unreadable_number_is_skipped(number: str) -> None:
    """Guard against a row that makes the whole report unreadable.

    The worker would count as silent, and its tasks would be lost.
    """
    rows = [[f'j.0.0.{number}', 1], ['j.0.1.2', 3]]
    body = msgspec.json.encode({'wall_ms': 9, 'running': rows})
    report = make_worker_report(decode(body, WorkerReportBody))
    assert [run.task for run in report.running] == [TaskKey('j', 0, 1, 2)]


def test_rate_of_a_team_is_its_weight() -> None:
    """Guard against teams without a rate, or with one they did not declare."""
    tenants = [{'name': 'a', 'weight': 2.5}, {'name': 'b'}]
    body = decode(_encode_config(tenants=tenants), ConfigBody)
    rated, unlimited = make_catalog(body).teams
    assert (rated.weight, rated.jobs_per_s) == (2.5, 2.5)
    assert (unlimited.weight, unlimited.jobs_per_s) == (1, 0)
