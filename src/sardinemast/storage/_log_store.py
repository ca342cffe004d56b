"""Store log, snapshot and hard state of one replica in a file."""

from pathlib import Path
from typing import NamedTuple

from sardinemast.consensus import (
    FolderIdentity,
    HardState,
    LogEntry,
    Snapshot,
)
from sardinemast.storage._files import (
    OS_FILE_FUNCTIONS,
    FileFunctions,
    replace_file,
    write_all,
)
from sardinemast.storage._folder import (
    FolderSeal,
    make_identity,
    read_identity,
    read_seal,
)
from sardinemast.storage._records import frame_record, read_records
from sardinemast.storage.exceptions import StorageError
from sardinemast.wire import MessageSet

_RECORDS = MessageSet(FolderSeal, HardState, Snapshot, LogEntry)
_FILE_NAME = 'log.wal'


class LoadedLog(NamedTuple):
    """Hold what was read from the data folder at the start."""

    folder: FolderIdentity
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


class LogStore:
    """Append records to the log file of one replica."""

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
        # What was read may not be synced, if the last process was killed
        # before the sync or the sync failed. It is written and synced again,
        # so that it cannot be lost after the replica has acknowledged it.
        self._rewrite(loaded.snapshot, loaded.entries)

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
        content = _encode(records)
        try:
            self._write(content)
        except OSError as error:
            raise self._mark_failed(error) from error

    def _write(self, content: bytes) -> None:
        if self._descriptor is None:
            self._descriptor = self._files.reopen(self._path)
        write_all(self._files, self._descriptor, content)
        self._files.sync(self._descriptor)

    def _rewrite(
        self,
        snapshot: Snapshot | None,
        entries: tuple[LogEntry, ...],
    ) -> None:
        self._check_not_failed()
        header = (self._seal, self._hard_state)
        records = (
            (*header, snapshot, *entries) if snapshot else (*header, *entries)
        )
        try:
            self._replace(_encode(records))
        except OSError as error:
            raise self._mark_failed(error) from error

    def _replace(self, content: bytes) -> None:
        self.close()
        replace_file(self._files, self._path, content)

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
    if path.exists():
        loaded = _load(folder, path.read_bytes())
    else:
        # The log is written right after the identity, so that an identity
        # without a log was never used and can be replaced.
        loaded = LoadedLog(make_identity(folder, files))
    return LogStore(folder, files, loaded), loaded


def _load(folder: Path, content: bytes) -> LoadedLog:
    identity = read_identity(folder)
    records = [
        _RECORDS.decode(record) for record in read_records(content).records
    ]
    is_original = (
        identity is not None
        and records
        and records[0] == read_seal(folder, identity)
    )
    if identity is None or not is_original:
        raise StorageError(
            'storage.E003',
            'The data folder is a copy or was restored from a backup.',
            'The folder is set aside; the other replicas hold its data.',
        )
    return _replay(identity, records)


def _replay(identity: FolderIdentity, records: list[object]) -> LoadedLog:
    hard_state = HardState()
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = []
    base_index = 0
    for record in records:
        if isinstance(record, HardState):
            hard_state = record
        elif isinstance(record, Snapshot):
            snapshot = record
            base_index = snapshot.last_index
        elif isinstance(record, LogEntry):
            del entries[record.log_index - base_index - 1 :]
            entries.append(record)
    return LoadedLog(identity, hard_state, snapshot, tuple(entries))


def _encode(records: tuple[object, ...]) -> bytes:
    return b''.join(frame_record(_RECORDS.encode(record)) for record in records)
