"""Pool sizes in the settings of a process."""

from pathlib import Path

import pytest

from sardinemast.checks import CheckError
from sardinemast.conf import load_process_file
from sardinemast.dispatch import LearningPolicy, PoolPolicy

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


def test_omitted_pool_sizes_have_defaults(tmp_path: Path) -> None:
    """Load files from versions without ``pool_sizes``."""
    settings = load_process_file(_write(tmp_path, ''))
    assert settings.pool_sizes == PoolPolicy()


def test_omitted_settings_keep_their_defaults(tmp_path: Path) -> None:
    """Change one setting without resetting the others."""
    path = _write(tmp_path, 'pool_sizes: {opening_share: 1}\n')
    assert load_process_file(path).pool_sizes == PoolPolicy(opening_share=1)


def test_all_mistakes_are_reported_together(tmp_path: Path) -> None:
    """Report a negative number, a string and an unknown name at once."""
    mistakes = '{idle_s: -1, calm_spare: some, unknown: 1}'
    path = _write(tmp_path, f'pool_sizes: {mistakes}\n')
    with pytest.raises(CheckError) as raised:
        load_process_file(path)
    assert len(raised.value.findings) == 3


def test_learning_is_off_unless_enabled(tmp_path: Path) -> None:
    """Guard against learning that a settings file did not ask for."""
    assert not load_process_file(_write(tmp_path, '')).learning.is_enabled
    path = _write(tmp_path, 'learning: {enabled: true, deadline_ends: 0}\n')
    expected = LearningPolicy(is_enabled=True, deadline_ends=0)
    assert load_process_file(path).learning == expected
    path = _write(tmp_path, 'learning: {enabled: yes, prior_ends: 0}\n')
    with pytest.raises(CheckError) as raised:
        load_process_file(path)
    assert len(raised.value.findings) == 2
