"""The settings of the example fleets, applied unchanged."""

from pathlib import Path

import pytest

from builders import run_fleet
from builders.processes import call, wait_for
from sardinemast.cli import commands, queries

_EXAMPLES = Path(__file__).parents[2] / 'examples'


@pytest.mark.parametrize(
    ('name', 'pool', 'team'),
    [
        ('kerlann', 'enrolment-pixels', 'petits-pixels'),
        ('atlas', 'ordering', 'schools-north'),
    ],
)
def test_example_serves(
    name: str,
    pool: str,
    team: str,
    tmp_path: Path,
) -> None:
    """The example's settings are accepted and a request is served."""
    folder = _EXAMPLES / name
    overlays = [str(path) for path in folder.glob('site-*.yaml')]
    with run_fleet(tmp_path, control_count=1, entry_count=1) as fleet:
        fleet.start_upstream(f'{pool}-1', f'--pool={pool}')
        wait_for(
            lambda: commands.apply(
                str(folder / 'base.yaml'),
                *overlays,
                controls=fleet.controls,
            ),
        )
        key = commands.grant_key(team, controls=fleet.controls)['key']
        path = f'/{pool}/orders'
        wait_for(lambda: call(fleet.entries, path, key).code == 200)
        settings = queries.show(fleet.controls)
    assert len(settings['pools']) == 5
