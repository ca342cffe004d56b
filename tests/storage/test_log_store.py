"""Files after a crash."""

import shutil
from pathlib import Path

import pytest

from builders.disks import FaultyFiles
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


def test_synced_records_come_back(tmp_path: Path) -> None:
    """All that was synced is read at the next start."""
    _write(tmp_path)
    _, loaded = open_log_store(tmp_path)
    assert loaded.hard_state == HardState(1, 'control-2')
    assert loaded.entries == _ENTRIES


def test_torn_tail_is_cut(tmp_path: Path) -> None:
    """Cut a record that the crash left half written.

    The power goes while a record is being written. Nobody was told that it
    lasts; kept, it would make the replica refuse to start.
    """
    path = _write(tmp_path)
    path.write_bytes(path.read_bytes()[:-3])
    _, loaded = open_log_store(tmp_path)
    assert loaded.entries == _ENTRIES[:1]


def test_damage_before_the_tail_is_refused(tmp_path: Path) -> None:
    """Refuse a file whose synced records were changed.

    A bad sector changes a record that others follow. Read on, the replica
    would silently miss a command that an operator was told is accepted.
    """
    path = _write(tmp_path)
    content = bytearray(path.read_bytes())
    content[12] ^= 1
    path.write_bytes(content)
    with pytest.raises(StorageError, match=r'storage\.E001'):
        open_log_store(tmp_path)


def test_damaged_length_is_no_torn_tail(tmp_path: Path) -> None:
    """Refuse a file in which the length of a synced record is wrong.

    A bad sector makes a record in the middle look longer than the file. Taken
    for a torn tail, it and all behind it would be cut off in silence.
    """
    path = _write(tmp_path)
    content = bytearray(path.read_bytes())
    content[0] ^= 1
    path.write_bytes(content)
    with pytest.raises(StorageError, match=r'storage\.E001'):
        open_log_store(tmp_path)


def test_zeros_at_the_end_are_cut(tmp_path: Path) -> None:
    """Cut zeros that the file grew by before its content came.

    The power goes after the file system noted the new size. Nobody was told
    that the record lasts.
    """
    path = _write(tmp_path)
    path.write_bytes(path.read_bytes() + bytes(64))
    _, loaded = open_log_store(tmp_path)
    assert loaded.entries == _ENTRIES


def test_copy_is_refused(tmp_path: Path) -> None:
    """Refuse a folder that was copied, also under the old path.

    An operator restores a backup. The replica has answered for more since,
    and with the copy it would help to elect a leader that lacks it.
    """
    folder = tmp_path / 'replica'
    _write(folder)
    shutil.copytree(folder, tmp_path / 'backup')
    shutil.rmtree(folder)
    shutil.copytree(tmp_path / 'backup', folder)
    with pytest.raises(StorageError, match=r'storage\.E003'):
        open_log_store(folder)


def test_renamed_folder_is_the_original(tmp_path: Path) -> None:
    """Take a folder whose path has changed for what it was."""
    _write(tmp_path / 'replica')
    (tmp_path / 'replica').rename(tmp_path / 'moved')
    _, loaded = open_log_store(tmp_path / 'moved')
    assert loaded.entries == _ENTRIES


def test_damaged_folder_is_set_aside(tmp_path: Path) -> None:
    """Go on with a new identity that may not found a cluster.

    All disks of a kind fail in the same week. The replicas must wait for one
    that still holds the state, and not agree on an empty one.
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


def test_failed_sync_is_not_retried(tmp_path: Path) -> None:
    """Refuse all further writes after a sync has failed.

    The kernel drops the pages of a failed sync, and the next one reports
    success. Whoever believed it would answer for bytes that are lost.
    """
    files = FaultyFiles()
    store, _ = open_log_store(tmp_path, files.functions)
    store.append_entries(_ENTRIES[:1])
    files.fails_sync = True
    for _ in range(2):
        with pytest.raises(StorageError, match=r'storage\.E002'):
            store.append_entries(_ENTRIES[1:])
        files.fails_sync = False
    files.power_loss()
    _, loaded = open_log_store(tmp_path, files.functions)
    assert loaded.entries == _ENTRIES[:1]
