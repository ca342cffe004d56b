"""Checksummed records, one after the other in a file."""

import struct
import zlib
from typing import NamedTuple

from sardinemast.storage.exceptions import StorageError

_HEADER = struct.Struct('>II')


class ReadRecords(NamedTuple):
    """Give the whole records and where the last one ends."""

    records: tuple[bytes, ...]
    end_bytes: int


def frame_record(record: bytes) -> bytes:
    """Put length and checksum before the record."""
    return _HEADER.pack(len(record), zlib.crc32(record)) + record


def read_records(content: bytes) -> ReadRecords:
    """Read all records, leaving out a torn last one.

    A crash in the middle of an append leaves a short or wrong last record;
    nobody was told that it lasts, so it is left out. A wrong record before
    others was once synced: using the rest would lose an acknowledged command
    in silence, so ``storage.E001`` is raised and the replica needs repair.
    """
    records: list[bytes] = []
    position = 0
    while position < len(content):
        record = _read_at(content, position)
        if record is None:
            _check_torn(content, position)
            break
        records.append(record)
        position += _HEADER.size + len(record)
    return ReadRecords(tuple(records), position)


def _read_at(content: bytes, position: int) -> bytes | None:
    start = position + _HEADER.size
    if start > len(content):
        return None
    length, checksum = _HEADER.unpack(content[position:start])
    record = content[start : start + length]
    if len(record) < length or zlib.crc32(record) != checksum:
        return None
    return record


def _check_torn(content: bytes, position: int) -> None:
    start = position + _HEADER.size
    if start > len(content):
        return
    length, _ = _HEADER.unpack(content[position:start])
    if start + length >= len(content):
        return
    raise StorageError(
        'storage.E001',
        f'The record at byte {position} is damaged and others follow it.',
        'Replace this replica; the others hold what it held.',
    )
