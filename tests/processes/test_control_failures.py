"""All control processes of a fleet are killed at once."""

from pathlib import Path

from builders import run_fleet
from builders.processes import wait_for
from sardinemast.cli import commands, queries

_BASE = """
sites: {rennes: {region: brittany}}
pools: {enrolment: {}}
teams: {petits-pixels: {limit: 9}}
"""


def test_accepted_settings_survive_full_restart(tmp_path: Path) -> None:
    """Accepted settings are written to disk, not only held in memory."""
    base = tmp_path / 'base.yaml'
    base.write_text(_BASE)
    with run_fleet(tmp_path, entry_count=1) as fleet:
        wait_for(lambda: commands.apply(str(base), controls=fleet.controls))
        for name in fleet.control_names:
            fleet.kill(name)
        for name in fleet.control_names:
            fleet.start(name)
        settings = wait_for(lambda: queries.show(fleet.controls))
    assert settings['version'] == 1
