"""Log, snapshot and hard state of one replica in a file."""

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
    make_seal,
    read_identity,
)
from sardinemast.storage._records import frame_record, read_records
from sardinemast.storage.exceptions import StorageError
from sardinemast.wire import MessageSet

_RECORDS = MessageSet(FolderSeal, HardState, Snapshot, LogEntry)
_FILE_NAME = 'log.wal'


class LoadedLog(NamedTuple):
    """Give what was synced before the process started."""

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
        self._seal = make_seal(folder, loaded.folder)
        self._hard_state = loaded.hard_state
        self._descriptor: int | None = None
        self._is_failed = False
        # What was read may never have been synced: the last process was
        # killed between write and sync, or its sync failed. Written anew and
        # synced here, it cannot vanish after the replica has answered for it.
        self._rewrite(loaded.snapshot, loaded.entries)

    def save_hard_state(self, hard_state: HardState) -> None:
        """Write and sync the hard state, or raise ``storage.E002``."""
        self._hard_state = hard_state
        self._append((hard_state,))

    def append_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Write and sync entries, or raise ``storage.E002``.

        An entry at an index that the file already holds cuts the older one
        and all behind it when the file is read.
        """
        self._append(entries)

    def save_snapshot(
        self,
        snapshot: Snapshot,
        entries: tuple[LogEntry, ...],
    ) -> None:
        """Put a snapshot and the entries behind it in place of the log."""
        self._rewrite(snapshot, entries)

    def close(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            self._files.close(self._descriptor)
            self._descriptor = None

    def _append(self, records: tuple[HardState | LogEntry, ...]) -> None:
        self._check_usable()
        content = _encode(records)
        try:
            self._write(content)
        except OSError as error:
            raise self._fail(error) from error

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
        self._check_usable()
        head = (self._seal, self._hard_state)
        records = (*head, snapshot, *entries) if snapshot else (*head, *entries)
        try:
            self._replace(_encode(records))
        except OSError as error:
            raise self._fail(error) from error

    def _replace(self, content: bytes) -> None:
        self.close()
        replace_file(self._files, self._path, content)

    def _check_usable(self) -> None:
        if self._is_failed:
            raise StorageError(
                'storage.E002',
                'The log failed before; nothing more is written.',
                'Free or replace the disk and start the process again.',
            )

    def _fail(self, error: OSError) -> StorageError:
        # After a failed sync the kernel may have dropped the pages, so a
        # second sync can report success for bytes that are lost. The caller
        # must stop the process and read back what the disk really holds.
        self._is_failed = True
        return StorageError(
            'storage.E002',
            f'The log could not be synced: {error}.',
            'Free or replace the disk; the process stops.',
        )


def open_log_store(
    folder: Path,
    files: FileFunctions = OS_FILE_FUNCTIONS,
) -> tuple[LogStore, LoadedLog]:
    """Read the log of the folder and open it for appending.

    Raises ``storage.E001`` where a synced record is damaged, and
    ``storage.E003`` where the folder is a copy.
    """
    try:
        return _open(folder, files)
    except OSError as error:
        raise StorageError(
            'storage.E002',
            f'The data folder could not be opened: {error}.',
            'Free or replace the disk; the process stops.',
        ) from error


def _open(
    folder: Path,
    files: FileFunctions,
) -> tuple[LogStore, LoadedLog]:
    is_new = not folder.exists()
    folder.mkdir(parents=True, exist_ok=True)
    if is_new:
        files.sync_folder(folder.parent)
    path = folder / _FILE_NAME
    if path.exists():
        loaded = _load(folder, path.read_bytes())
    else:
        # The log is written right after the identity, so that an identity
        # without a log was never used and is made anew.
        loaded = LoadedLog(make_identity(folder, files))
    return LogStore(folder, files, loaded), loaded


def _load(folder: Path, content: bytes) -> LoadedLog:
    identity = read_identity(folder)
    found = [_RECORDS.decode(one) for one in read_records(content).records]
    is_original = (
        identity is not None
        and found
        and found[0] == make_seal(folder, identity)
    )
    if identity is None or not is_original:
        raise StorageError(
            'storage.E003',
            'The data folder is a copy or was restored.',
            'The folder is set aside; the others hold what it held.',
        )
    return _replay(identity, found)


def _replay(identity: FolderIdentity, records: list[object]) -> LoadedLog:
    hard_state = HardState()
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = []
    base_index = 0
    for found in records:
        if isinstance(found, HardState):
            hard_state = found
        elif isinstance(found, Snapshot):
            snapshot = found
            base_index = snapshot.last_index
        elif isinstance(found, LogEntry):
            del entries[found.log_index - base_index - 1 :]
            entries.append(found)
    return LoadedLog(identity, hard_state, snapshot, tuple(entries))


def _encode(records: tuple[object, ...]) -> bytes:
    return b''.join(frame_record(_RECORDS.encode(one)) for one in records)
