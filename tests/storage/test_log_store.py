"""Test reading the log after crashes, damage and copies."""

import shutil
from pathlib import Path

import pytest

from builders.disks import CountingFiles, FaultyFiles, limit_disk
from sardinemast.consensus import HardState, LogEntry
from sardinemast.storage import (
    StorageError,
    open_log_store,
    open_or_replace_log_store,
)

_ENTRIES = (LogEntry(1, 1, b'first'), LogEntry(2, 1, b'second'))


def _write(folder: Path) -> Path:
    store, _ = open_log_store(folder)
    store.save_hard_state(HardState(1, 'control-2'))
    store.append_entries(_ENTRIES)
    store.close()
    return folder / 'log.wal'


def test_synced_records_are_loaded(tmp_path: Path) -> None:
    """Load all synced records at the next start."""
    _write(tmp_path)
    _, loaded = open_log_store(tmp_path)
    assert loaded.hard_state == HardState(1, 'control-2')
    assert loaded.entries == _ENTRIES


def test_incomplete_last_record_is_ignored(tmp_path: Path) -> None:
    """Ignore a last record that a crash interrupted.

    It was not acknowledged, and must not keep the replica from starting.
    """
    path = _write(tmp_path)
    path.write_bytes(path.read_bytes()[:-3])
    _, loaded = open_log_store(tmp_path)
    assert loaded.entries == _ENTRIES[:1]


@pytest.mark.parametrize('written', range(1, 40))
def test_last_record_that_ends_in_zeros_is_ignored(
    tmp_path: Path, written: int
) -> None:
    """Ignore a last record of which a loss of power left only the beginning.

    The file may have grown before its content was written. If the folder were
    set aside while two other replicas lose their disks, no majority would be
    left.
    """
    path = _write(tmp_path)
    store, _ = open_log_store(tmp_path)
    synced = path.stat().st_size
    store.append_entries((LogEntry(3, 1, b'third' * 9), LogEntry(4, 1, b'')))
    store.close()
    content = path.read_bytes()
    torn = content[: synced + written].ljust(len(content), b'\0')
    path.write_bytes(torn)
    _, loaded = open_log_store(tmp_path)
    assert loaded.entries == _ENTRIES


def test_damaged_record_is_rejected(tmp_path: Path) -> None:
    """Reject a log in which a synced record is damaged.

    Skipping the record could lose an acknowledged command.
    """
    path = _write(tmp_path)
    content = bytearray(path.read_bytes())
    content[12] ^= 1
    path.write_bytes(content)
    with pytest.raises(StorageError, match=r'storage\.E001'):
        open_log_store(tmp_path)


def test_damaged_length_is_rejected(tmp_path: Path) -> None:
    """Reject a log in which the length of a synced record is damaged.

    Taken for an incomplete last record, it would hide all later records.
    """
    path = _write(tmp_path)
    content = bytearray(path.read_bytes())
    content[0] ^= 1
    path.write_bytes(content)
    with pytest.raises(StorageError, match=r'storage\.E001'):
        open_log_store(tmp_path)


def test_zeros_at_the_end_are_ignored(tmp_path: Path) -> None:
    """Ignore zeros at the end of the log.

    A power loss leaves them if the file grew before its content was written.
    """
    path = _write(tmp_path)
    path.write_bytes(path.read_bytes() + bytes(64))
    _, loaded = open_log_store(tmp_path)
    assert loaded.entries == _ENTRIES


def test_copied_folder_is_rejected(tmp_path: Path) -> None:
    """Reject a copied folder, also under the original path.

    A restored backup lacks entries that the replica acknowledged later, and
    could help to elect a leader without them.
    """
    folder = tmp_path / 'replica'
    _write(folder)
    shutil.copytree(folder, tmp_path / 'backup')
    shutil.rmtree(folder)
    shutil.copytree(tmp_path / 'backup', folder)
    with pytest.raises(StorageError, match=r'storage\.E003'):
        open_log_store(folder)


def test_renamed_folder_is_accepted(tmp_path: Path) -> None:
    """Accept the original folder under another path."""
    _write(tmp_path / 'replica')
    (tmp_path / 'replica').rename(tmp_path / 'moved')
    _, loaded = open_log_store(tmp_path / 'moved')
    assert loaded.entries == _ENTRIES


def test_damaged_folder_is_set_aside(tmp_path: Path) -> None:
    """Replace a damaged folder by one that may not bootstrap a cluster.

    If all folders are damaged, the replicas must not start an empty cluster.
    """
    folder = tmp_path / 'replica'
    path = _write(folder)
    _, before = open_log_store(folder)
    content = bytearray(path.read_bytes())
    content[20] ^= 1
    path.write_bytes(content)
    _, loaded = open_or_replace_log_store(folder)
    assert loaded.entries == ()
    assert not loaded.folder.may_found
    assert loaded.folder.identity != before.folder.identity
    assert (tmp_path / 'replica.aside-1' / 'log.wal').exists()


def test_no_write_succeeds_after_failed_sync(tmp_path: Path) -> None:
    """Reject all writes after a failed sync.

    The kernel may drop the pages of a failed sync and report success for the
    next one, although data is lost.
    """
    files = FaultyFiles()
    store, _ = open_log_store(tmp_path, files.functions)
    store.append_entries(_ENTRIES[:1])
    files.fails_sync = True
    for _ in range(2):
        with pytest.raises(StorageError, match=r'storage\.E002'):
            store.append_entries(_ENTRIES[1:])
        files.fails_sync = False
    files.lose_power()
    _, loaded = open_log_store(tmp_path, files.functions)
    assert loaded.entries == _ENTRIES[:1]


def test_new_folder_is_synced_after_a_failed_start(tmp_path: Path) -> None:
    """A loss of power removes a folder whose first start failed.

    The name of the folder is not durable until its parent is synced, and the
    replica would come back as one that lost its disk.
    """
    files = FaultyFiles()
    files.operations_until_error = 0
    with pytest.raises(StorageError, match=r'storage\.E002'):
        open_log_store(tmp_path / 'replica', files.functions)
    files.operations_until_error = None
    open_log_store(tmp_path / 'replica', files.functions)
    assert tmp_path in files.synced_folders


def test_start_needs_no_room_for_a_second_log(tmp_path: Path) -> None:
    """Guard against a replica that never starts again.

    Its log is larger than half of the disk, which held it while it ran.
    """
    files = limit_disk(tmp_path, 1000)
    store, _ = open_log_store(tmp_path, files)
    entries = tuple(LogEntry(index, 1, bytes(100)) for index in range(1, 6))
    for entry in entries:
        store.append_entries((entry,))
    store.close()
    _, loaded = open_log_store(tmp_path, files)
    assert loaded.entries == entries


def test_read_records_outlast_a_failed_sync_before(tmp_path: Path) -> None:
    """Guard against records that are lost after they were acknowledged.

    The next start reads them from the memory of the kernel, which takes them
    for written since the failed sync.
    """
    files = FaultyFiles()
    store, _ = open_log_store(tmp_path, files.functions)
    files.fails_sync = True
    with pytest.raises(StorageError, match=r'storage\.E002'):
        store.append_entries(_ENTRIES)
    files.fails_sync = False
    store, loaded = open_log_store(tmp_path, files.functions)
    store.append_entries((LogEntry(3, 1, b'third'),))
    files.lose_power()
    _, after = open_log_store(tmp_path, files.functions)
    assert loaded.entries == _ENTRIES
    assert after.entries == (*_ENTRIES, LogEntry(3, 1, b'third'))


def test_start_writes_little_of_a_large_log(tmp_path: Path) -> None:
    """Guard against starts that take as long as the log is large."""
    store, _ = open_log_store(tmp_path)
    for index in range(1, 101):
        store.append_entries((LogEntry(index, 1, bytes(10_000)),))
    store.close()
    files = CountingFiles()
    _, loaded = open_log_store(tmp_path, files.functions)
    assert len(loaded.entries) == 100
    assert 0 < files.written_bytes < 100_000


def test_unfinished_file_of_a_killed_process_is_removed(
    tmp_path: Path,
) -> None:
    """Guard against a disk that half a snapshot fills for good."""
    path = _write(tmp_path)
    path.with_suffix('.new').write_bytes(bytes(64))
    open_log_store(tmp_path)
    assert not path.with_suffix('.new').exists()


def test_each_write_is_synced_before_the_next(tmp_path: Path) -> None:
    """Guard against a hole in a log of which power loss kept a later write.

    The folder would count as damaged, on several replicas at once.
    """
    store, _ = open_log_store(tmp_path)
    large = tuple(LogEntry(index, 1, bytes(10**6)) for index in range(1, 5))
    appending = CountingFiles()
    store.close()
    store, _ = open_log_store(tmp_path, appending.functions)
    store.append_entries(large)
    store.close()
    starting = CountingFiles()
    _, loaded = open_log_store(tmp_path, starting.functions)
    assert loaded.entries == large
    assert starting.written_bytes > 4 * 10**6
    for files in (appending, starting):
        pairs = zip(files.operations, files.operations[1:], strict=False)
        assert ('write', 'write') not in pairs
