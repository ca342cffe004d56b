"""Decode bodies in which some entries cannot be decoded.

An entry may come from another writer. It must not hide the others.
"""

from collections.abc import Mapping
from contextlib import suppress
from typing import Any, TypeVar

import msgspec
from logbook import Logger

from sardinemast.platform._decoding import DECODE_ERRORS, check_numbers, decode
from sardinemast.platform._splitting import split_array, split_object
from sardinemast.platform._worker_bodies import (
    EndRow,
    InstancesBody,
    RunRow,
    WorkerReportBody,
)

_log = Logger('partial-bodies')
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


def decode_report(body: bytes) -> WorkerReportBody:
    """Decode a worker's answer to an order, or raise ``DECODE_ERRORS``.

    Fields of rows that cannot be decoded have the values of an unread row.
    """
    try:
        report: WorkerReportBody = decode(body, WorkerReportBody)
    except DECODE_ERRORS as error:
        report = _decode_parts(split_object(body))
        _log.warning('A report is decoded in part: {}.', error)
    check_numbers(report.get('wall_ms', 0), report.get('born', 0))
    return report


def _decode_parts(fields: Mapping[str, bytes]) -> WorkerReportBody:
    running = split_array(fields.get('running', b'[]'))
    finished = split_array(fields.get('finished', b'[]'))
    return {
        'wall_ms': decode(fields.get('wall_ms', b'0'), int),
        'born': decode(fields.get('born', b'0'), int),
        'reason': decode(fields.get('reason', b'""'), str),
        'running': [_decode_row(row, _UNREAD_RUN) for row in running],
        'finished': [_decode_row(row, _UNREAD_END) for row in finished],
    }


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
