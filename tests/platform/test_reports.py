"""Reports of workers with values that are hard to decode."""

import pytest

from builders.odd_values import LONE_SURROGATE, NUMBERS, make_nested
from sardinemast.dispatch import OrderOutcome, ReportedEnd, ReportedRun
from sardinemast.jobs import TaskKey
from sardinemast.platform._http_client import classify_attempt
from sardinemast.platform._partial_bodies import decode_granted, decode_report
from sardinemast.platform._reports import make_worker_report
from sardinemast.routing import AttemptResult
from sardinemast.shell import RawAttempt
from sardinemast.shell._http_connection import RawResponse

_RUN = ReportedRun(TaskKey('j', 0, 1, 2), 3, 'c', 40, 7)
_END = ReportedEnd(2, TaskKey('j', 0, 0, 1), 1, 'done', 'z')
_ODD_TASK = TaskKey('odd', 0, 0, 0)
# 0 stands for an unknown time.
_ODD_TIMES = tuple(one for one in (*NUMBERS, LONE_SURROGATE) if one != b'0')
_ODD_ROWS = (
    make_nested(10_000),
    make_nested(200_000),
    LONE_SURROGATE,
    b'NaN',
    b'[%b,1]' % LONE_SURROGATE,
    b'{}',
)


def _make_body(run: bytes, end: bytes) -> bytes:
    return (
        b'{"wall_ms":9,"born":5,"running":[%b,["j.0.1.2",3,"c",40,7]],'
        b'"finished":[%b,[2,"j.0.0.1",1,"done","z"]],"odd":%b}'
    ) % (run, end, make_nested(10_000))


@pytest.mark.parametrize('row', _ODD_ROWS)
def test_rows_beside_an_odd_one_are_read(row: bytes) -> None:
    """Guard against one odd row that makes a worker count as silent."""
    report = make_worker_report(decode_report(_make_body(row, row)))
    assert (report.running, report.ended) == ((_RUN,), (_END,))
    assert report.has_unread_ends


@pytest.mark.parametrize('number', NUMBERS)
def test_rows_with_odd_numbers_are_not_read(number: bytes) -> None:
    """Guard against numbers that no order can carry afterwards."""
    run = b'["odd.0.0.0",%b,"",4,7]' % number
    end = b'[1,"odd.0.0.0",%b,"done",""]' % number
    report = make_worker_report(decode_report(_make_body(run, end)))
    assert (report.running, report.ended) == ((_RUN,), (_END,))
    assert report.unread_tasks == {_ODD_TASK}
    assert (report.unread_position, report.has_unread_ends) == (1, False)
    end = b'[%b,"odd.0.0.0",1,"done",""]' % number
    report = make_worker_report(decode_report(_make_body(run, end)))
    assert (report.ended, report.has_unread_ends) == ((_END,), True)


@pytest.mark.parametrize('number', NUMBERS)
def test_odd_measurement_is_limited(number: bytes) -> None:
    """Guard against estimates that overflow with a percentage or a gauge."""
    run = b'["odd.0.0.0",3,"",%b,%b]' % (number, number)
    report = make_worker_report(decode_report(_make_body(run, b'[]')))
    assert report.running[0][:2] == (_ODD_TASK, 3)
    assert 0 <= report.running[0].percent <= 100
    assert 0 <= report.running[0].gauge <= 1_000_000_000


@pytest.mark.parametrize('number', _ODD_TIMES)
def test_odd_clock_is_not_known(number: bytes) -> None:
    """Guard against a clock after which no real one is later."""
    body = b'{"wall_ms":%b,"running":[["j.0.1.2",3,"c",40,7]]}' % number
    report = make_worker_report(decode_report(body))
    assert (report.clock_ms, report.running) == (0, (_RUN,))


@pytest.mark.parametrize(
    'body',
    [
        *(b'{"born":%b}' % number for number in _ODD_TIMES),
        b'{"running":[%b["j.0.1.2",3]]}' % (b'["j.0.1.2",3],' * 10_000),
        b'{"running":[["j.0.1.2",3],',
        b'{"running":{}}',
        b'\xff',
    ],
)
def test_report_of_an_unknown_boot_is_not_used(body: bytes) -> None:
    """Guard against a boot after which no real one is later."""
    response = RawResponse(200, 'OK', (), body)
    reply = classify_attempt(RawAttempt(AttemptResult.answered, response))
    assert (reply.outcome, reply.body) == (OrderOutcome.unknown, None)


@pytest.mark.parametrize('row', [*_ODD_ROWS, *NUMBERS, b'["w-1"]'])
def test_tickets_beside_an_odd_one_are_read(row: bytes) -> None:
    """Guard against a step that never starts for one odd ticket."""
    granted = decode_granted(b'{"granted":[%b,["w-1","t"]]}' % row)['granted']
    assert granted == [('w-1', 't')]
