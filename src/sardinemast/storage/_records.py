"""Frame records with checksums, and read them back from a file."""

import struct
import zlib
from typing import NamedTuple

from sardinemast.storage.exceptions import StorageError

# A header holds length and checksum of the record, followed by a checksum of
# the header. Without the latter, a damaged length could point past the end of
# the file, look like an incomplete last record and drop synced records.
_HEADER = struct.Struct('>II')
_HEADER_CHECKSUM = struct.Struct('>I')
_HEADER_BYTES = _HEADER.size + _HEADER_CHECKSUM.size


class ReadRecords(NamedTuple):
    """Hold the complete records and the position after the last one."""

    records: tuple[bytes, ...]
    end_bytes: int


def frame_record(record: bytes) -> bytes:
    """Return the record with its length and checksums in front."""
    header = _HEADER.pack(len(record), zlib.crc32(record))
    return header + _HEADER_CHECKSUM.pack(zlib.crc32(header)) + record


def read_records(content: bytes) -> ReadRecords:
    """Read all records, except for an incomplete one at the end.

    A crash during an append leaves a short last record, or one that ends in
    zeros if the file grew before its content was written. That record was not
    acknowledged and is ignored. Any other damage concerns synced records.
    Ignoring it could lose an acknowledged command, so that ``storage.E001`` is
    raised.
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
    header_checksum = content[position + _HEADER.size : start]
    if _HEADER_CHECKSUM.pack(zlib.crc32(header)) != header_checksum:
        _check_torn(content, position, start)
        return None
    length, checksum = _HEADER.unpack(header)
    record = content[start : start + length]
    if len(record) < length:
        return None
    if zlib.crc32(record) != checksum:
        _check_torn(content, position, start + length)
        return None
    return record


def _check_torn(content: bytes, position: int, end: int) -> None:
    """Raise ``storage.E001`` unless zeros follow from inside a record.

    No complete record that is appended ends in a zero byte: it ends in a text,
    a boolean, an empty list or null.
    """
    if any(content[end - 1 :]):
        raise _make_damage_error(position)


def _make_damage_error(position: int) -> StorageError:
    return StorageError(
        'storage.E001',
        f'The record at byte {position} is damaged.',
        'The folder is set aside; the other replicas hold its data.',
    )
