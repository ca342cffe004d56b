"""Store log, snapshot and hard state of one replica in a file."""

from collections.abc import Iterable, Iterator
from itertools import chain
from pathlib import Path
from typing import NamedTuple

from sardinemast.consensus import (
    FolderIdentity,
    HardState,
    LogEntry,
    Snapshot,
)
from sardinemast.storage._files import (
    CHUNK_BYTES,
    OS_FILE_FUNCTIONS,
    FileFunctions,
    remove_unfinished_file,
    replace_file,
    rewrite_in_place,
    write_all,
)
from sardinemast.storage._folder import (
    FolderSeal,
    make_identity,
    read_identity,
    read_seal,
)
from sardinemast.storage._records import (
    StoredRecord,
    frame_record,
    iterate_records,
)
from sardinemast.storage.exceptions import StorageError
from sardinemast.wire import MessageSet

_RECORDS = MessageSet(FolderSeal, HardState, Snapshot, LogEntry)
_Record = FolderSeal | HardState | Snapshot | LogEntry
_FILE_NAME = 'log.wal'
# What follows the last hard state in the file is written again at a start.
_BYTES_PER_HARD_STATE = 65_536


class LoadedLog(NamedTuple):
    """Hold what was read from the data folder at the start."""

    folder: FolderIdentity
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


class LogStore:
    """Append records to the log file of one replica.

    Each hard state is the first record of a write, and a write begins once
    the one before is synced. All that stands in front of the last hard state
    is therefore durable, whatever became of the writes after it.
    """

    def __init__(
        self,
        folder: Path,
        files: FileFunctions,
        loaded: LoadedLog,
    ) -> None:
        self._path = folder / _FILE_NAME
        self._files = files
        self._seal = read_seal(folder, loaded.folder)
        self._hard_state = loaded.hard_state
        self._descriptor: int | None = None
        self._is_failed = False
        self._bytes_since_hard_state = 0

    def create_file(self) -> None:
        """Write and sync the file of an empty log."""
        self._rewrite(None, ())

    def sync_again(self, start_bytes: int, end_bytes: int) -> None:
        """Make durable what was read and may not be synced.

        The last process may have been killed before the sync, or the sync
        failed. Without this, it could be lost after the replica has
        acknowledged it. The file keeps its size, so that a start needs no
        room on the disk.
        """
        self._bytes_since_hard_state = end_bytes - start_bytes
        try:
            rewrite_in_place(self._files, self._path, start_bytes, end_bytes)
        except OSError as error:
            raise self._mark_failed(error) from error

    def save_hard_state(self, hard_state: HardState) -> None:
        """Write and sync the hard state, or raise ``storage.E002``."""
        self._hard_state = hard_state
        self._append((hard_state,))

    def append_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Write and sync entries, or raise ``storage.E002``.

        An entry whose index is already in the file replaces that entry and all
        later ones when the file is read.
        """
        self._append(entries)

    def save_snapshot(
        self,
        snapshot: Snapshot,
        entries: tuple[LogEntry, ...],
    ) -> None:
        """Replace the log by a snapshot and the entries that follow it."""
        self._rewrite(snapshot, entries)

    def close(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            self._files.close(self._descriptor)
            self._descriptor = None

    def _append(self, records: tuple[HardState | LogEntry, ...]) -> None:
        self._check_not_failed()
        if self._bytes_since_hard_state >= _BYTES_PER_HARD_STATE:
            records = (self._hard_state, *records)
        if isinstance(records[0], HardState):
            self._bytes_since_hard_state = 0
        try:
            self._write(records)
        except OSError as error:
            raise self._mark_failed(error) from error

    def _write(self, records: tuple[HardState | LogEntry, ...]) -> None:
        if self._descriptor is None:
            self._descriptor = self._files.reopen(self._path)
        # One write: of several that are not synced, a loss of power may keep a
        # later one without an earlier one.
        content = b''.join(_encode(records))
        self._bytes_since_hard_state += len(content)
        write_all(self._files, self._descriptor, content)
        self._files.sync(self._descriptor)

    def _rewrite(
        self,
        snapshot: Snapshot | None,
        entries: tuple[LogEntry, ...],
    ) -> None:
        self._check_not_failed()
        snapshots = (snapshot,) if snapshot else ()
        records = (self._seal, *snapshots, *entries, self._hard_state)
        try:
            self._replace(_encode(records))
        except OSError as error:
            raise self._mark_failed(error) from error
        self._bytes_since_hard_state = 0

    def _replace(self, chunks: Iterable[bytes]) -> None:
        self.close()
        replace_file(self._files, self._path, chunks)

    def _check_not_failed(self) -> None:
        if self._is_failed:
            raise StorageError(
                'storage.E002',
                'The log takes no more writes after an earlier failure.',
                'Free disk space or replace the disk, and restart the process.',
            )

    def _mark_failed(self, error: OSError) -> StorageError:
        # After a failed sync the kernel may drop the dirty pages, so that the
        # next sync succeeds although data is lost. The caller must stop the
        # process and read at the next start what the disk holds.
        self._is_failed = True
        return StorageError(
            'storage.E002',
            f'The log could not be written and synced: {error}.',
            'The process stops. Free disk space or replace the disk.',
        )


def open_log_store(
    folder: Path,
    files: FileFunctions = OS_FILE_FUNCTIONS,
) -> tuple[LogStore, LoadedLog]:
    """Read the log of the folder and open it for appending.

    Raises ``storage.E001`` if a synced record is damaged, ``storage.E002`` if
    reading or writing fails, and ``storage.E003`` if the folder is a copy.
    """
    try:
        return _open_folder(folder, files)
    except OSError as error:
        raise StorageError(
            'storage.E002',
            f'The data folder could not be opened: {error}.',
            'The process stops. Free disk space or replace the disk.',
        ) from error


def _open_folder(
    folder: Path,
    files: FileFunctions,
) -> tuple[LogStore, LoadedLog]:
    folder.mkdir(parents=True, exist_ok=True)
    # An earlier start may have failed between making and syncing the folder.
    files.sync_folder(folder.parent)
    path = folder / _FILE_NAME
    remove_unfinished_file(path)
    if path.exists():
        return _open_file(folder, path, files)
    # The log is written right after the identity, so that an identity without
    # a log was never used and can be replaced.
    loaded = LoadedLog(make_identity(folder, files))
    store = LogStore(folder, files, loaded)
    store.create_file()
    return store, loaded


class _LogReader:
    """Rebuild a log from its records in turn.

    ``hard_state_bytes`` is where the last hard state starts in the file,
    ``end_bytes`` where the last record ends.
    """

    def __init__(self) -> None:
        self.hard_state_bytes = 0
        self.end_bytes = 0
        self._hard_state = HardState()
        self._snapshot: Snapshot | None = None
        self._entries: list[LogEntry] = []

    def add(self, stored: StoredRecord) -> None:
        """Add the next record of the file."""
        self.end_bytes = stored.end_bytes
        record = _RECORDS.decode(stored.content)
        if isinstance(record, HardState):
            self._hard_state = record
            self.hard_state_bytes = stored.start_bytes
        elif isinstance(record, Snapshot):
            self._snapshot = record
        elif isinstance(record, LogEntry):
            base_index = self._snapshot.last_index if self._snapshot else 0
            del self._entries[record.log_index - base_index - 1 :]
            self._entries.append(record)

    def get_log(self, identity: FolderIdentity) -> LoadedLog:
        """Return what was read."""
        return LoadedLog(
            identity, self._hard_state, self._snapshot, tuple(self._entries)
        )


def _open_file(
    folder: Path, path: Path, files: FileFunctions
) -> tuple[LogStore, LoadedLog]:
    identity = read_identity(folder)
    reader = _LogReader()
    with path.open('rb') as file:
        records = iterate_records(file)
        first = next(records, None)
        if not (first and identity and _is_sealed(folder, identity, first)):
            raise StorageError(
                'storage.E003',
                'The data folder is a copy or was restored from a backup.',
                'The folder is set aside; the other replicas hold its data.',
            )
        for stored in chain((first,), records):
            reader.add(stored)
    loaded = reader.get_log(identity)
    store = LogStore(folder, files, loaded)
    store.sync_again(reader.hard_state_bytes, reader.end_bytes)
    return store, loaded


def _is_sealed(
    folder: Path, identity: FolderIdentity, first: StoredRecord
) -> bool:
    return bool(_RECORDS.decode(first.content) == read_seal(folder, identity))


def _encode(records: Iterable[_Record]) -> Iterator[bytes]:
    """Yield the encoded records in chunks, to be written in turn."""
    chunk = bytearray()
    for record in records:
        chunk += frame_record(_RECORDS.encode(record))
        if len(chunk) >= CHUNK_BYTES:
            yield bytes(chunk)
            chunk.clear()
    if chunk:
        yield bytes(chunk)
