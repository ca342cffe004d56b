"""Settings of one process that size pools."""

from pathlib import Path

import pytest

from sardinemast.checks import CheckError
from sardinemast.conf import load_process_file
from sardinemast.dispatch import PoolPolicy

_PROCESS = """
name: c-1
roles: [control]
data_centre: rennes
controls:
  - name: c-1
    peer: {port: 8110}
    operator: {port: 8111}
"""


def _write(folder: Path, more: str) -> Path:
    path = folder / 'process.yaml'
    path.write_text(_PROCESS + more)
    return path


def test_pools_are_sized_by_default_without_settings(tmp_path: Path) -> None:
    """A file of an earlier version still loads."""
    settings = load_process_file(_write(tmp_path, ''))
    assert settings.pool_sizes == PoolPolicy()


def test_one_setting_changes_and_the_others_stay(tmp_path: Path) -> None:
    """An operator keeps all workers on until a pool's first peak."""
    path = _write(tmp_path, 'pool_sizes: {opening_share: 1}\n')
    assert load_process_file(path).pool_sizes == PoolPolicy(opening_share=1)


def test_all_mistakes_are_reported_together(tmp_path: Path) -> None:
    """A negative number, a text and a name that does not exist."""
    mistakes = '{idle_s: -1, calm_spare: some, unknown: 1}'
    path = _write(tmp_path, f'pool_sizes: {mistakes}\n')
    with pytest.raises(CheckError) as raised:
        load_process_file(path)
    assert len(raised.value.findings) == 3
