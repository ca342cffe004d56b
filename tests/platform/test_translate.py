"""Bodies of the platform into records, also those that make no sense."""

from types import MappingProxyType

import msgspec
import pytest

from sardinemast.dispatch import ReportedEnd, ReportedRun
from sardinemast.jobs import TaskKey, check_catalog
from sardinemast.platform._decoding import DECODE_ERRORS, decode
from sardinemast.platform._job_bodies import ConfigBody, JobBody
from sardinemast.platform._translate import (
    make_catalog,
    make_request,
    make_worker,
    make_worker_report,
    read_task,
)
from sardinemast.platform._worker_bodies import BeatBody, ListsBody

_MIB = 1024 * 1024
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


def test_job_is_read_with_its_steps() -> None:
    """Every field of a step arrives where the product keeps it."""
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
    ],
)
def test_job_that_cannot_be_read_is_refused(body: bytes) -> None:
    """A job of which a part is missing or of another kind is not guessed."""
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
def test_invalid_configuration_is_found(
    changes: dict[str, object],
    code: str,
) -> None:
    """Each kind of mistake has its own code."""
    catalog = make_catalog(decode(_encode_config(**changes), ConfigBody))
    assert [one.code for one in check_catalog(catalog)] == [code]


def test_configuration_that_is_cut_short_is_refused() -> None:
    """Half a configuration, taken for whole, would drop queues and keys."""
    with pytest.raises(DECODE_ERRORS):
        decode(_encode_config()[:-20], ConfigBody)


def test_worker_is_read_from_its_announcement() -> None:
    """Kind and rack stand in one list, and the start in a field of its own."""
    body = (
        b'{"service":"booking","addr":"10.0.0.9:80","zone":"rennes",'
        b'"state":"draining","seq":4,"born":17,"machine":"m-1",'
        b'"labels":["a","r1-3"],"capacity":{"cpu":16000,"mem_mb":1}}'
    )
    worker = make_worker('i-1', decode(body, BeatBody))
    assert worker.boot_ms == 17
    assert worker.rack == 'r1-3'
    assert worker.instance == 'm-1'
    assert worker.capacity == (16000, _MIB, 0)
    assert worker.is_draining


@pytest.mark.parametrize(
    'body',
    [
        b'{"service":"s","addr":"10.0.0.9:80","state":"odd","seq":1}',
        b'{"service":"s","addr":"nowhere","state":"ready","seq":1}',
        b'{"service":"s","state":"ready","seq":1}',
        b'{"service":"s","addr":"1:2","state":"ready","seq":"one"}',
        b'[]',
    ],
)
def test_announcement_without_sense_names_no_worker(body: bytes) -> None:
    """Another writer's record must not bring a worker into being."""
    with pytest.raises(DECODE_ERRORS):
        make_worker('i-1', decode(body, BeatBody))


def test_rows_without_sense_are_left_out_of_a_list() -> None:
    """One odd row must not hide the runs and ends beside it."""
    body = (
        b'{"wall_ms":9,"born":5,"running":[["odd",1],["j.0.1.2",3,"c",40,7]],'
        b'"finished":[[1,"j.0.0.x",1,"done",""],[2,"j.0.0.1",1,"done","z"]]}'
    )
    answer = make_worker_report(decode(body, ListsBody))
    assert answer.boot_ms == 5
    assert answer.running == (
        ReportedRun(TaskKey('j', 0, 1, 2), 3, 'c', 40, 7),
    )
    assert answer.ended == (
        ReportedEnd(2, TaskKey('j', 0, 0, 1), 1, 'done', 'z'),
    )


def test_task_name_goes_both_ways() -> None:
    """A job's name may hold dots; the numbers are the last three parts."""
    task = TaskKey('a.b', 1, 2, 3)
    assert read_task(str(task)) == task
    assert read_task('a.b.c') is None
