"""Frame records with checksums, and read them back from a file."""

import struct
import zlib
from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

from sardinemast.storage._files import CHUNK_BYTES
from sardinemast.storage.exceptions import StorageError

# A header holds length and checksum of the record, followed by a checksum of
# the header. Without the latter, a damaged length could point past the end of
# the file, look like an incomplete last record and drop synced records.
_HEADER = struct.Struct('>II')
_HEADER_CHECKSUM = struct.Struct('>I')
_HEADER_BYTES = _HEADER.size + _HEADER_CHECKSUM.size


class StoredRecord(NamedTuple):
    """Hold a complete record and where it starts and ends in the file."""

    content: bytes
    start_bytes: int
    end_bytes: int


def frame_record(record: bytes) -> bytes:
    """Return the record with its length and checksums in front."""
    header = _HEADER.pack(len(record), zlib.crc32(record))
    return header + _HEADER_CHECKSUM.pack(zlib.crc32(header)) + record


def iterate_records(file: BinaryIO) -> Iterator[StoredRecord]:
    """Yield all records in turn, except for an incomplete one at the end.

    A crash during an append leaves a short last record, or one that ends in
    zeros if the file grew before its content was written. That record was not
    acknowledged and is ignored. Any other damage concerns synced records.
    Ignoring it could lose an acknowledged command, so that ``storage.E001`` is
    raised.
    """
    position = 0
    while True:
        content = _read_next(file, position)
        if content is None:
            return
        end = position + _HEADER_BYTES + len(content)
        yield StoredRecord(content, position, end)
        position = end


def _read_next(file: BinaryIO, position: int) -> bytes | None:
    header = file.read(_HEADER_BYTES)
    if len(header) < _HEADER_BYTES:
        return None
    lengths, header_checksum = header[: _HEADER.size], header[_HEADER.size :]
    if _HEADER_CHECKSUM.pack(zlib.crc32(lengths)) != header_checksum:
        _check_torn(file, position, header)
        return None
    length, checksum = _HEADER.unpack(lengths)
    record = file.read(length)
    if len(record) < length:
        return None
    if zlib.crc32(record) != checksum:
        _check_torn(file, position, record)
        return None
    return record


def _check_torn(file: BinaryIO, position: int, last_read: bytes) -> None:
    """Raise ``storage.E001`` unless zeros follow from inside a record.

    No complete record that is appended ends in a zero byte: it ends in a text,
    a boolean, an empty list or null.
    """
    rest = last_read[-1:]
    while rest:
        if any(rest):
            raise _make_damage_error(position)
        rest = file.read(CHUNK_BYTES)


def _make_damage_error(position: int) -> StorageError:
    return StorageError(
        'storage.E001',
        f'The record at byte {position} is damaged.',
        'The folder is set aside; the other replicas hold its data.',
    )
