"""Control processes that are killed while the fleet serves."""

from pathlib import Path

from builders import run_fleet
from builders.processes import wait_for
from sardinemast.cli import commands, queries

_BASE = """
sites: {rennes: {region: brittany}}
pools: {enrolment: {}}
teams: {petits-pixels: {limit: 9}}
"""


def test_killed_majority_forgets_nothing(tmp_path: Path) -> None:
    """Keep what was acknowledged when all control processes are killed.

    Every control process loses its power at once right after an operator
    was told that a change is accepted. If the change was only in memory, the
    operator finds the old settings after the restart.
    """
    base = tmp_path / 'base.yaml'
    base.write_text(_BASE)
    with run_fleet(tmp_path, entry_count=1) as fleet:
        wait_for(lambda: commands.apply(str(base), controls=fleet.controls))
        for name in fleet.control_names:
            fleet.kill(name)
        for name in fleet.control_names:
            fleet.start(name)
        found = wait_for(lambda: queries.show(fleet.controls))
    assert found['version'] == 1
