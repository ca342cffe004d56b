"""Control processes whose process, disk or network fails."""

import resource
import shutil
import signal
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from builders import Fleet, run_fleet
from builders.processes import wait_for
from sardinemast.cli import commands, queries

_BASE = """
sites: {rennes: {region: brittany}}
pools: {enrolment: {}}
teams: {petits-pixels: {limit: 9}}
"""


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Run three control processes with an accepted version."""
    base = tmp_path / 'base.yaml'
    base.write_text(_BASE)
    with run_fleet(tmp_path, entry_count=0) as running:
        wait_for(lambda: commands.apply(str(base), controls=running.controls))
        yield running


def _apply(fleet: Fleet) -> Any:
    base = str(fleet.folder / 'base.yaml')
    return wait_for(partial(commands.apply, base, controls=fleet.controls))


def _get_version(fleet: Fleet) -> int:
    found = wait_for(partial(queries.show, fleet.controls))
    return int(found['version'])


def _get_log(fleet: Fleet, name: str) -> str:
    return (fleet.folder / f'{name}.log').read_text()


def _get_leader(fleet: Fleet) -> str:
    """Give who led last, by the newest term in the logs."""
    terms = {
        int(line.split('Term ')[1].split(':')[0]): name
        for name in fleet.control_names
        for line in _get_log(fleet, name).splitlines()
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


def _wait_for_new_folder(fleet: Fleet, name: str, replaced: str) -> None:
    """Wait until another folder is the voter of the name, and no other."""

    def is_replaced() -> bool:
        found = queries.replicas(fleet.controls)['replicas']
        own = [one for one in found if one['name'] == name]
        return (
            len(found) == 3
            and own[0]['is_voter']
            and own[0]['identity'] != replaced
        )

    wait_for(is_replaced)


def _get_folder(fleet: Fleet, name: str) -> str:
    found = wait_for(partial(queries.replicas, fleet.controls))['replicas']
    return str(next(one['identity'] for one in found if one['name'] == name))


def test_killed_leader_is_replaced(fleet: Fleet) -> None:
    """Serve by a new leader after kill -9 of the old one.

    The process that leads loses its power. Operators must find what they were
    told is accepted at the next leader.
    """
    fleet.kill(_get_leader(fleet))
    assert _get_version(fleet) == 1
    assert _apply(fleet)['version'] == 2


def test_frozen_leader_comes_back_as_follower(fleet: Fleet) -> None:
    """Follow the new leader after a freeze longer than a lease.

    The host of the leader stands still while the others elect another one.
    Were it to go on as before, it would show operators an old version.
    """
    leader = _get_leader(fleet)
    fleet.signal(leader, signal.SIGSTOP)
    base = str(fleet.folder / 'base.yaml')
    others = _get_other_controls(fleet, leader)
    wait_for(partial(commands.apply, base, controls=others))
    fleet.signal(leader, signal.SIGCONT)
    assert _get_version(fleet) == 2
    assert _get_leader(fleet) != leader


def test_deleted_folder_is_replaced(fleet: Fleet) -> None:
    """Take a replica with an empty disk in under a new identity.

    A disk is lost and the process starts with an empty folder. Under its old
    identity it could vote for a leader that lacks an accepted version. Right
    after the repair a second replica is lost, and nothing may be missing.
    """
    name = _get_follower(fleet)
    replaced = _get_folder(fleet, name)
    fleet.kill(name)
    shutil.rmtree(fleet.folder / name)
    fleet.start(name)
    _wait_for_new_folder(fleet, name, replaced)
    second = next(
        one
        for one in fleet.control_names
        if one not in {name, _get_leader(fleet)}
    )
    fleet.kill(second)
    shutil.rmtree(fleet.folder / second)
    fleet.kill(_get_leader(fleet))
    fleet.start(_get_leader(fleet))
    assert _get_version(fleet) == 1


def test_old_copy_is_told_apart(fleet: Fleet) -> None:
    """Set an old copy of a data folder aside.

    An operator puts a backup of the folder back. It lacks what the replica
    has acknowledged since, and would let others forget that.
    """
    name = _get_follower(fleet)
    replaced = _get_folder(fleet, name)
    folder = fleet.folder / name
    shutil.copytree(folder, fleet.folder / 'backup')
    assert _apply(fleet)['version'] == 2
    fleet.kill(name)
    shutil.rmtree(folder)
    shutil.copytree(fleet.folder / 'backup', folder)
    fleet.start(name)
    _wait_for_new_folder(fleet, name, replaced)
    assert 'storage.E003' in _get_log(fleet, name)
    assert _get_version(fleet) == 2


def test_operator_replaces_a_folder(fleet: Fleet) -> None:
    """Replace the folder of a running replica on an operator's word."""
    name = _get_follower(fleet)
    replaced = _get_folder(fleet, name)
    wait_for(
        partial(commands.repair_replica, name, controls=fleet.controls),
    )
    _wait_for_new_folder(fleet, name, replaced)
    assert _get_version(fleet) == 1


def test_unusable_folder_ends_the_process(fleet: Fleet) -> None:
    """End with a coded line where the data folder cannot be written.

    The folder's place is taken by a file, as a stand-in for a broken disk. A
    process that went on would look alive and decide nothing.
    """
    name = _get_follower(fleet)
    fleet.kill(name)
    shutil.rmtree(fleet.folder / name)
    (fleet.folder / name).write_text('')
    fleet.start(name)
    assert fleet.processes[name].wait() == 1
    assert 'storage.E002' in _get_log(fleet, name)


def test_full_disk_ends_the_process(fleet: Fleet) -> None:
    """End with a coded line once the log cannot grow any more.

    The disk of a replica is full. What it could not write it must not answer
    for, and a process that only listened would look alive for ever.
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
    assert 'storage.E002' in _get_log(fleet, name)
    assert _get_version(fleet) > 1
