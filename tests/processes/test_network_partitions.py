"""Network partitions between control processes."""

from collections.abc import Callable
from functools import partial
from pathlib import Path

import pytest

from builders import run_fleet
from builders.processes import wait_for
from builders.relays import Relays, run_relays
from sardinemast.cli import commands, queries

_BASE = """
sites: {rennes: {region: brittany}}
pools: {enrolment: {}}
teams: {petits-pixels: {limit: 9}}
"""


def _drop_both_directions(relays: Relays, name: str, is_cut: bool) -> None:
    relays.cut_from(name, is_cut=is_cut)
    relays.cut_to(name, is_cut=is_cut)


def _drop_outgoing(relays: Relays, name: str, is_cut: bool) -> None:
    relays.cut_from(name, is_cut=is_cut)


def _drop_incoming(relays: Relays, name: str, is_cut: bool) -> None:
    relays.cut_to(name, is_cut=is_cut)


@pytest.mark.parametrize(
    'set_partition', [_drop_both_directions, _drop_outgoing, _drop_incoming]
)
def test_partitioned_leader_is_replaced(
    tmp_path: Path,
    set_partition: Callable[[Relays, str, bool], None],
) -> None:
    """A leader is replaced when its packets are dropped silently.

    No connection is reset. The others elect a new leader, and the settings
    that it accepts stay in force after the partition heals.
    """
    base = tmp_path / 'base.yaml'
    base.write_text(_BASE)
    with (
        run_relays() as relays,
        run_fleet(
            tmp_path, entry_count=0, prepare=relays.route_through_relays
        ) as fleet,
    ):
        apply = partial(commands.apply, str(base))
        wait_for(partial(apply, controls=fleet.controls))
        leader = queries.replicas(fleet.controls)['leader']
        addresses = dict(
            zip(fleet.control_names, fleet.controls.split(','), strict=True),
        )
        others = ','.join(set(addresses.values()) - {addresses[leader]})
        set_partition(relays, leader, True)
        wait_for(partial(apply, controls=others))
        set_partition(relays, leader, False)
        settings = wait_for(partial(queries.show, fleet.controls))
        assert settings['version'] == 2
