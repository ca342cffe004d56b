"""Mutual TLS between control processes, entries and operators."""

from collections.abc import Iterator
from pathlib import Path

import pytest
import trustme

from builders import Fleet, run_fleet
from builders.certificates import write_certificate
from builders.processes import call, wait_for
from sardinemast.cli import queries
from sardinemast.cli._client import CREDENTIALS_VARIABLE
from sardinemast.exceptions import CodedError


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run one control process and one entry with certificates."""
    folder = tmp_path_factory.mktemp('secured')
    with run_fleet(folder, 1, 1, trustme.CA()) as running:
        yield running


def _set_credentials(
    folder: Path,
    authority: trustme.CA | None,
    unit: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert authority is not None
    issued = write_certificate(folder, authority, 'someone', unit)
    issued.certificate.rename(folder / 'certificate.pem')
    issued.private_key.rename(folder / 'private-key.pem')
    monkeypatch.setenv(CREDENTIALS_VARIABLE, str(folder))


def test_valid_certificates_are_accepted(
    fleet: Fleet,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Operators and entries reach a control process of their authority."""
    _set_credentials(tmp_path, fleet.authority, 'operator', monkeypatch)
    settings = wait_for(lambda: queries.show(fleet.controls))
    assert settings['version'] == 0
    fleet.wait_until_serving()
    events = queries.timeline(fleet.controls, fleet.entries)
    assert 'role=leader' in events


def test_process_certificate_cannot_command(
    fleet: Fleet,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Operator commands are refused with the certificate of a process.

    Otherwise a stolen entry certificate would allow withdrawing keys and
    raising limits.
    """
    _set_credentials(tmp_path, fleet.authority, 'process', monkeypatch)
    fleet.wait_until_serving()
    answer = queries.show(fleet.controls)
    assert answer['code'] == 'control.E003'


def test_entry_of_other_authority_gets_no_lease(
    fleet: Fleet, tmp_path: Path
) -> None:
    """An entry with a certificate of another authority is rejected.

    Otherwise it would receive the digests of all keys, and operators'
    commands would wait for it.
    """
    fleet.wait_until_serving()
    trusted_authority = fleet.authority
    fleet.authority = trustme.CA()
    fleet.add_entry('entry-9')
    try:
        fleet.start('entry-9')
    finally:
        fleet.authority = trusted_authority
    health = wait_for(
        lambda: call(fleet.get_entry_address('entry-9'), '/-/health'),
    )
    log = fleet.folder / 'entry-9.log'
    wait_for(lambda: 'CERTIFICATE_VERIFY_FAILED' in log.read_text())
    assert health.code == 503


def test_operator_without_certificate_is_rejected(
    fleet: Fleet,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection of an operator without a certificate is rejected."""
    monkeypatch.delenv(CREDENTIALS_VARIABLE, raising=False)
    fleet.wait_until_serving()
    with pytest.raises(CodedError, match=r'cli\.E001'):
        queries.show(fleet.controls)
