"""Files after a crash."""

from pathlib import Path

import pytest

from sardinemast.consensus import HardState, LogEntry
from sardinemast.storage import StorageError, open_log_store

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
