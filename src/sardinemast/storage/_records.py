"""Checksummed records, one after the other in a file."""

import struct
import zlib
from typing import NamedTuple

from sardinemast.storage.exceptions import StorageError

# Length and checksum of the record, and a checksum of these two. Without the
# last one a damaged length in the middle would point behind the end of the
# file and look like a torn tail, and synced records would be cut off.
_HEADER = struct.Struct('>II')
_SEAL = struct.Struct('>I')
_HEADER_BYTES = _HEADER.size + _SEAL.size


class ReadRecords(NamedTuple):
    """Give the whole records and where the last one ends."""

    records: tuple[bytes, ...]
    end_bytes: int


def frame_record(record: bytes) -> bytes:
    """Put length and checksums before the record."""
    header = _HEADER.pack(len(record), zlib.crc32(record))
    return header + _SEAL.pack(zlib.crc32(header)) + record


def read_records(content: bytes) -> ReadRecords:
    """Read all records, leaving out a torn last one.

    A crash in the middle of an append leaves a short last record, or zeros
    where the file grew before its content came; nobody was told that it
    lasts, so it is left out. Anything else that is wrong was once synced:
    using the rest would lose an acknowledged command in silence, so
    ``storage.E001`` is raised and the replica needs repair.
    """
    records: list[bytes] = []
    position = 0
    while position < len(content):
        record = _read_at(content, position)
        if record is None:
            break
        records.append(record)
        position += _HEADER_BYTES + len(record)
    return ReadRecords(tuple(records), position)


def _read_at(content: bytes, position: int) -> bytes | None:
    start = position + _HEADER_BYTES
    if start > len(content):
        return None
    header = content[position : position + _HEADER.size]
    seal = content[position + _HEADER.size : start]
    if _SEAL.pack(zlib.crc32(header)) != seal:
        if any(content[position:]):
            raise _damaged(position)
        return None
    length, checksum = _HEADER.unpack(header)
    record = content[start : start + length]
    if len(record) < length:
        return None
    if zlib.crc32(record) != checksum:
        raise _damaged(position)
    return record


def _damaged(position: int) -> StorageError:
    return StorageError(
        'storage.E001',
        f'The record at byte {position} is damaged.',
        'The folder is set aside; the others hold what it held.',
    )
