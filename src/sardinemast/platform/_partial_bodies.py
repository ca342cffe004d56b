"""Decode bodies in which some entries cannot be decoded.

An entry may come from another writer. It must not hide the others.
"""

from collections.abc import Mapping
from contextlib import suppress
from typing import Any, TypeVar

import msgspec
from logbook import Logger

from sardinemast.platform._decoding import (
    DECODE_ERRORS,
    check_numbers,
    decode,
    is_in_range,
)
from sardinemast.platform._splitting import split_array, split_object
from sardinemast.platform._worker_bodies import (
    EndRow,
    GrantedBody,
    InstancesBody,
    RunRow,
    TicketRow,
    WorkerReportBody,
)

_log = Logger('partial-bodies')
# Each run that the log does not have is stopped by an order of its own.
_ROWS_MAX = 10_000
_Row = TypeVar('_Row', RunRow, EndRow)
_UNREAD_RUN = RunRow('', 0)
_UNREAD_END = EndRow(0, '', 0, '')


def decode_instances(body: bytes) -> InstancesBody:
    """Decode a page of the list of instances, or raise ``DECODE_ERRORS``."""
    try:
        return decode(body, InstancesBody)  # type: ignore[no-any-return]
    except DECODE_ERRORS:
        fields = split_object(body)
    entries = split_array(fields.get('machines', b'[]'))
    return {
        'machines': [msgspec.Raw(entry) for entry in entries],
        'next_token': decode(fields.get('next_token', b'null'), str | None),
    }


def decode_granted(body: bytes) -> GrantedBody:
    """Decode tickets, without odd ones, or raise ``DECODE_ERRORS``."""
    try:
        return decode(body, GrantedBody)  # type: ignore[no-any-return]
    except DECODE_ERRORS:
        fields = split_object(body)
    granted: list[TicketRow] = []
    for row in split_array(fields.get('granted', b'')):
        with suppress(*DECODE_ERRORS):
            granted.append(decode(row, TicketRow))
    _log.warning('Tickets are decoded in part: {} can be.', len(granted))
    return {'granted': granted}


def decode_report(body: bytes) -> WorkerReportBody:
    """Decode a worker's answer to an order, or raise ``DECODE_ERRORS``.

    Fields of rows that cannot be decoded have the values of an unread row. An
    odd clock counts as unknown; after an odd start, nothing is known.
    """
    try:
        report: WorkerReportBody = decode(body, WorkerReportBody)
    except DECODE_ERRORS as error:
        report = _decode_parts(split_object(body))
        _log.warning('A report is decoded in part: {}.', error)
    check_numbers(report.get('born', 0))
    if not is_in_range(report.get('wall_ms', 0)):
        report['wall_ms'] = 0
    for rows in (report.get('running', []), report.get('finished', [])):
        if len(rows) > _ROWS_MAX:
            raise ValueError('The report has too many rows.')
    return report


def _decode_parts(fields: Mapping[str, bytes]) -> WorkerReportBody:
    running = split_array(fields.get('running', b'[]'))
    finished = split_array(fields.get('finished', b'[]'))
    return {
        'wall_ms': _decode_clock(fields.get('wall_ms', b'0')),
        'born': decode(fields.get('born', b'0'), int),
        'reason': decode(fields.get('reason', b'""'), str),
        'running': [_decode_row(row, _UNREAD_RUN) for row in running],
        'finished': [_decode_row(row, _UNREAD_END) for row in finished],
    }


def _decode_clock(clock: bytes) -> int:
    with suppress(*DECODE_ERRORS):
        return decode(clock, int)  # type: ignore[no-any-return]
    return 0


def _decode_row(row: bytes, unread: _Row) -> _Row:
    """Decode each field of a row that can be decoded."""
    found: dict[str, Any] = {}
    try:
        elements = split_array(row)
    except ValueError:
        return unread
    for name, element in zip(unread._fields, elements, strict=False):
        with suppress(*DECODE_ERRORS):
            found[name] = decode(element, unread.__annotations__[name])
    return unread._replace(**found)
