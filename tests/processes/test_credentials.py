"""Processes and operators with and without credentials."""

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


def _use(
    folder: Path,
    authority: trustme.CA | None,
    unit: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert authority is not None
    written = write_certificate(folder, authority, 'someone', unit)
    written.certificate.rename(folder / 'certificate.pem')
    written.private_key.rename(folder / 'private-key.pem')
    monkeypatch.setenv(CREDENTIALS_VARIABLE, str(folder))


def test_operator_commands_and_entry_serves(
    fleet: Fleet,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With certificates of one authority, all work together."""
    _use(tmp_path, fleet.authority, 'operator', monkeypatch)
    found = wait_for(lambda: queries.show(fleet.controls))
    assert found['version'] == 0
    fleet.wait_until_serving()
    events = queries.timeline(fleet.controls, fleet.entries)
    assert 'role=leader' in events


def test_process_may_not_command(
    fleet: Fleet,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Refuse an operator's request that comes with a process's certificate.

    Somebody gets hold of one entry's private key. If it worked for operators
    too, they could withdraw keys and lift limits.
    """
    _use(tmp_path, fleet.authority, 'process', monkeypatch)
    fleet.wait_until_serving()
    answer = queries.show(fleet.controls)
    assert answer['code'] == 'control.E003'


def test_stranger_gets_no_lease(fleet: Fleet, tmp_path: Path) -> None:
    """Give nothing to an entry whose certificate is of another authority.

    A process that somebody else started reaches a control process's port. If
    it were let in, it would be sent the digests of all keys, and count as an
    entry that operators wait for.
    """
    fleet.wait_until_serving()
    own = fleet.authority
    fleet.authority = trustme.CA()
    fleet.add_entry('entry-9')
    try:
        fleet.start('entry-9')
    finally:
        fleet.authority = own
    health = wait_for(
        lambda: call(fleet.get_entry_address('entry-9'), '/-/health'),
    )
    log = fleet.folder / 'entry-9.log'
    wait_for(lambda: 'CERTIFICATE_VERIFY_FAILED' in log.read_text())
    assert health.code == 503


def test_operator_without_certificate_is_cut(
    fleet: Fleet,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Whoever has no certificate reaches nothing."""
    monkeypatch.delenv(CREDENTIALS_VARIABLE, raising=False)
    fleet.wait_until_serving()
    with pytest.raises(CodedError, match=r'cli\.E001'):
        queries.show(fleet.controls)
