"""Control processes between which the network fails silently."""

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


def _cut_all(relays: Relays, name: str, is_cut: bool) -> None:
    relays.cut_from(name, is_cut=is_cut)
    relays.cut_to(name, is_cut=is_cut)


def _cut_sending(relays: Relays, name: str, is_cut: bool) -> None:
    relays.cut_from(name, is_cut=is_cut)


def _cut_hearing(relays: Relays, name: str, is_cut: bool) -> None:
    relays.cut_to(name, is_cut=is_cut)


@pytest.mark.parametrize('cut', [_cut_all, _cut_sending, _cut_hearing])
def test_cut_leader_is_replaced(
    tmp_path: Path,
    cut: Callable[[Relays, str, bool], None],
) -> None:
    """Replace a leader whose network drops packets without an error.

    A switch loses what the leader sends, or what it is sent, or both; no
    stream breaks. The others must elect another leader, and what they accept
    meanwhile must hold when the old one is back.
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
        cut(relays, leader, True)
        wait_for(partial(apply, controls=others))
        cut(relays, leader, False)
        found = wait_for(partial(queries.show, fleet.controls))
        assert found['version'] == 2
