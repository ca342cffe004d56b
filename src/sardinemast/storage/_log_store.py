"""Log and hard state of one replica in a file."""

import os
from pathlib import Path
from typing import BinaryIO, NamedTuple

from sardinemast.consensus import HardState, LogEntry
from sardinemast.storage._records import frame_record, read_records
from sardinemast.storage.exceptions import StorageError
from sardinemast.wire import MessageSet

_RECORDS = MessageSet(HardState, LogEntry)
_FILE_NAME = 'log.wal'


class LoadedLog(NamedTuple):
    """Give what was synced before the process started."""

    hard_state: HardState
    entries: tuple[LogEntry, ...]


class LogStore:
    """Append records to the log file of one replica."""

    def __init__(self, log_file: BinaryIO) -> None:
        self._log_file = log_file

    def save_hard_state(self, hard_state: HardState) -> None:
        """Write and sync the hard state, or raise ``storage.E002``."""
        self._write((_RECORDS.encode(hard_state),))

    def append_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Write and sync entries, or raise ``storage.E002``.

        An entry at an index that the file already holds cuts the older one
        and all behind it when the file is read.
        """
        self._write(tuple(_RECORDS.encode(entry) for entry in entries))

    def close(self) -> None:
        """Close the file."""
        self._log_file.close()

    def _write(self, records: tuple[bytes, ...]) -> None:
        # After a failed sync the kernel may have dropped the pages, so a
        # second sync can report success for bytes that are lost. The caller
        # must stop the process and read back what the disk really holds.
        try:
            self._log_file.write(b''.join(map(frame_record, records)))
            self._log_file.flush()
            os.fdatasync(self._log_file.fileno())
        except OSError as error:
            raise StorageError(
                'storage.E002',
                f'The log could not be synced: {error}.',
                'Free or replace the disk; the process stops.',
            ) from error


def open_log_store(folder: Path) -> tuple[LogStore, LoadedLog]:
    """Read the log of the folder and open it for appending.

    Raises ``storage.E001`` where a synced record is damaged.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / _FILE_NAME
    path.touch()
    _sync_folder(folder)
    content = path.read_bytes()
    found = read_records(content)
    if found.end_bytes < len(content):
        os.truncate(path, found.end_bytes)
    log_file = path.open('ab')
    return LogStore(log_file), _replay(found.records)


def _replay(records: tuple[bytes, ...]) -> LoadedLog:
    hard_state = HardState()
    entries: list[LogEntry] = []
    for record in records:
        found = _RECORDS.decode(record)
        if isinstance(found, HardState):
            hard_state = found
        else:
            del entries[found.log_index - 1 :]
            entries.append(found)
    return LoadedLog(hard_state, tuple(entries))


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
