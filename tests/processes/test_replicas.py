"""Control processes that crash, pause or lose their disk."""

import resource
import shutil
import signal
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from builders import Fleet, run_fleet
from builders.processes import settle, wait_for
from sardinemast.cli import commands, queries
from sardinemast.cli.exceptions import UnreachableError

_BASE = """
sites: {rennes: {region: brittany}}
pools: {enrolment: {}}
teams: {petits-pixels: {limit: 9}}
"""


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Run three control processes with one applied version of settings."""
    base = tmp_path / 'base.yaml'
    base.write_text(_BASE)
    with run_fleet(tmp_path, entry_count=0) as running:
        wait_for(lambda: commands.apply(str(base), controls=running.controls))
        yield running


def _apply(fleet: Fleet) -> Any:
    base = str(fleet.folder / 'base.yaml')
    return wait_for(partial(commands.apply, base, controls=fleet.controls))


def _get_version(fleet: Fleet) -> int:
    settings = wait_for(partial(queries.show, fleet.controls))
    return int(settings['version'])


def _read_log(fleet: Fleet, name: str) -> str:
    return (fleet.folder / f'{name}.log').read_text()


def _get_leader(fleet: Fleet) -> str:
    """Return the leader of the highest term found in the logs."""
    terms = {
        int(line.split('Term ')[1].split(':')[0]): name
        for name in fleet.control_names
        for line in _read_log(fleet, name).splitlines()
        if line.endswith(': leader.')
    }
    return terms[max(terms)]


def _get_follower(fleet: Fleet) -> str:
    leader = _get_leader(fleet)
    return next(name for name in fleet.control_names if name != leader)


def _get_other_controls(fleet: Fleet, name: str) -> str:
    addresses = dict(
        zip(fleet.control_names, fleet.controls.split(','), strict=True),
    )
    del addresses[name]
    return ','.join(addresses.values())


def _wait_for_replacement(fleet: Fleet, name: str, old_identity: str) -> None:
    """Wait until a voter with a new identity replaces the old replica."""

    def is_replaced() -> bool:
        replicas = queries.replicas(fleet.controls)['replicas']
        matching = [one for one in replicas if one['name'] == name]
        return (
            len(replicas) == 3
            and matching[0]['is_voter']
            and matching[0]['identity'] != old_identity
        )

    wait_for(is_replaced)


def _get_identity(fleet: Fleet, name: str) -> str:
    replicas = wait_for(partial(queries.replicas, fleet.controls))['replicas']
    return str(next(one['identity'] for one in replicas if one['name'] == name))


def test_killed_leader_is_replaced(fleet: Fleet) -> None:
    """A new leader has the accepted settings after the old one is killed."""
    fleet.kill(_get_leader(fleet))
    assert _get_version(fleet) == 1
    assert _apply(fleet)['version'] == 2


def test_paused_leader_becomes_follower(fleet: Fleet) -> None:
    """A leader paused for longer than its lease does not serve old settings.

    When it resumes, it follows the leader elected meanwhile.
    """
    leader = _get_leader(fleet)
    fleet.signal(leader, signal.SIGSTOP)
    base = str(fleet.folder / 'base.yaml')
    others = _get_other_controls(fleet, leader)
    wait_for(partial(commands.apply, base, controls=others))
    fleet.signal(leader, signal.SIGCONT)
    assert _get_version(fleet) == 2
    assert _get_leader(fleet) != leader


def test_unknown_outcome_is_settled_by_resend(fleet: Fleet) -> None:
    """Guard against a command that takes effect twice or not at all.

    A leader without a majority cannot tell whether its command will take
    effect; the operator resends it with the same id.
    """
    base = str(fleet.folder / 'base.yaml')
    leader = _get_leader(fleet)
    followers = [name for name in fleet.control_names if name != leader]
    for name in followers:
        fleet.signal(name, signal.SIGSTOP)
    with pytest.raises(UnreachableError):
        commands.apply(base, controls=fleet.controls, command_id='resent')
    for name in followers:
        fleet.signal(name, signal.SIGCONT)
    settle(commands.apply, base, controls=fleet.controls, command_id='resent')
    assert _get_version(fleet) == 2


def test_deleted_folder_gets_new_identity(fleet: Fleet) -> None:
    """A replica that lost its data folder rejoins under a new identity.

    Under its old identity it could vote for a leader that lacks an accepted
    version. No version is lost if a second replica fails after the repair.
    """
    name = _get_follower(fleet)
    old_identity = _get_identity(fleet, name)
    fleet.kill(name)
    shutil.rmtree(fleet.folder / name)
    fleet.start(name)
    _wait_for_replacement(fleet, name, old_identity)
    other_follower = next(
        one
        for one in fleet.control_names
        if one not in {name, _get_leader(fleet)}
    )
    fleet.kill(other_follower)
    shutil.rmtree(fleet.folder / other_follower)
    fleet.kill(_get_leader(fleet))
    fleet.start(_get_leader(fleet))
    assert _get_version(fleet) == 1


def test_restored_backup_is_set_aside(fleet: Fleet) -> None:
    """A data folder restored from a backup is set aside.

    It lacks entries that the replica has acknowledged since the backup.
    """
    name = _get_follower(fleet)
    old_identity = _get_identity(fleet, name)
    folder = fleet.folder / name
    shutil.copytree(folder, fleet.folder / 'backup')
    assert _apply(fleet)['version'] == 2
    fleet.kill(name)
    shutil.rmtree(folder)
    shutil.copytree(fleet.folder / 'backup', folder)
    fleet.start(name)
    _wait_for_replacement(fleet, name, old_identity)
    assert 'storage.E003' in _read_log(fleet, name)
    assert _get_version(fleet) == 2


def test_operator_replaces_data_folder(fleet: Fleet) -> None:
    """An operator's command replaces the data folder of a running replica."""
    name = _get_follower(fleet)
    old_identity = _get_identity(fleet, name)
    wait_for(
        partial(commands.repair_replica, name, controls=fleet.controls),
    )
    _wait_for_replacement(fleet, name, old_identity)
    assert _get_version(fleet) == 1


def test_process_exits_on_unusable_folder(fleet: Fleet) -> None:
    """A process exits with an error code if its data folder is unusable.

    A file in place of the folder simulates a broken disk. A process that kept
    running would seem healthy without being able to store anything.
    """
    name = _get_follower(fleet)
    fleet.kill(name)
    shutil.rmtree(fleet.folder / name)
    (fleet.folder / name).write_text('')
    fleet.start(name)
    assert fleet.processes[name].wait() == 1
    assert 'storage.E002' in _read_log(fleet, name)


def test_process_exits_on_full_disk(fleet: Fleet) -> None:
    """A process exits with an error code once its log cannot grow.

    It must not acknowledge entries that it could not write.
    """
    name = _get_follower(fleet)
    process = fleet.processes[name]
    size = (fleet.folder / name / 'replica' / 'log.wal').stat().st_size
    limit = (2 * size, 2 * size)
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limit)

    def has_ended() -> bool:
        commands.apply(
            str(fleet.folder / 'base.yaml'),
            controls=_get_other_controls(fleet, name),
        )
        return process.poll() is not None

    wait_for(has_ended)
    assert process.poll() == 1
    assert 'storage.E002' in _read_log(fleet, name)
    assert _get_version(fleet) > 1
