"""Policies of the dispatcher in the settings of a process."""

from pathlib import Path

import pytest

from sardinemast.checks import CheckError
from sardinemast.conf import load_process_file
from sardinemast.dispatch import (
    AdmissionPolicy,
    LearningPolicy,
    LeasePolicy,
    PoolPolicy,
    PreemptionPolicy,
    TeamShares,
)

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


def test_lease_of_workers_is_configurable(tmp_path: Path) -> None:
    """Guard against a leader that expects shorter leases than workers grant."""
    path = _write(tmp_path, 'worker_leases: {longest_ms: 6000}\n')
    leases = load_process_file(path).worker_leases
    assert leases == LeasePolicy(longest_ms=6000)


def test_omitted_pool_sizes_have_defaults(tmp_path: Path) -> None:
    """Load files from versions without ``pool_sizes``."""
    settings = load_process_file(_write(tmp_path, ''))
    assert settings.pool_sizes == PoolPolicy()


def test_omitted_settings_keep_their_defaults(tmp_path: Path) -> None:
    """Change one setting without resetting the others."""
    path = _write(tmp_path, 'pool_sizes: {opening_share: 1}\n')
    assert load_process_file(path).pool_sizes == PoolPolicy(opening_share=1)


@pytest.mark.parametrize('enabled', [False, True])
def test_lost_racks_are_recognised_only_if_enabled(
    tmp_path: Path, enabled: bool
) -> None:
    """Load files without ``failure_domains`` as before, and read the switch."""
    more = 'failure_domains: {enabled: true}\n' if enabled else ''
    settings = load_process_file(_write(tmp_path, more))
    assert settings.failure_domains.enabled is enabled


def test_all_mistakes_are_reported_together(tmp_path: Path) -> None:
    """Report a negative number, a string and an unknown name at once."""
    mistakes = '{idle_s: -1, calm_spare: some, unknown: 1}'
    path = _write(tmp_path, f'pool_sizes: {mistakes}\n')
    with pytest.raises(CheckError) as raised:
        load_process_file(path)
    assert len(raised.value.findings) == 3


def test_team_shares_are_off_unless_enabled(tmp_path: Path) -> None:
    """Guard against shares in fleets whose settings lack the section."""
    settings = load_process_file(_write(tmp_path, ''))
    assert settings.team_shares == TeamShares()
    path = _write(tmp_path, 'team_shares: {enabled: true, late_share: 0.1}\n')
    assert load_process_file(path).team_shares == TeamShares(True, 0.1)


def test_excessive_late_share_is_reported(tmp_path: Path) -> None:
    """Guard against a share for late work that makes all other work late."""
    path = _write(tmp_path, 'team_shares: {late_share: 0.9}\n')
    with pytest.raises(CheckError):
        load_process_file(path)


def test_learning_is_off_unless_enabled(tmp_path: Path) -> None:
    """Guard against learning that a settings file did not ask for."""
    assert not load_process_file(_write(tmp_path, '')).learning.enabled
    path = _write(tmp_path, 'learning: {enabled: true, deadline_ends: 0}\n')
    expected = LearningPolicy(enabled=True, deadline_ends=0)
    assert load_process_file(path).learning == expected
    path = _write(tmp_path, 'learning: {enabled: yes, prior_ends: 0}\n')
    with pytest.raises(CheckError) as raised:
        load_process_file(path)
    assert len(raised.value.findings) == 2


def test_preemption_is_off_unless_enabled(tmp_path: Path) -> None:
    """Guard against runs that are stopped on fleets that did not ask for it."""
    settings = load_process_file(_write(tmp_path, ''))
    assert settings.preemption == PreemptionPolicy()
    assert not settings.preemption.enabled
    path = _write(tmp_path, 'preemption: {enabled: true, max_per_task: 1}\n')
    expected = PreemptionPolicy(enabled=True, max_per_task=1)
    assert load_process_file(path).preemption == expected


def test_admission_is_off_unless_enabled(tmp_path: Path) -> None:
    """Guard against refusals where nobody asked for them."""
    settings = load_process_file(_write(tmp_path, ''))
    assert settings.admission == AdmissionPolicy()
    assert not settings.admission.enabled
    path = _write(tmp_path, 'admission: {enabled: true, margin: 1}\n')
    assert load_process_file(path).admission == AdmissionPolicy(True, 1)
