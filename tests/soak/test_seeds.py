"""Run the soak briefly; ``python -m soak --fresh=50`` runs it at length."""

import asyncio
from pathlib import Path

from soak.run import Durations, run_seed
from soak.site import Sizes

_SIZES = Sizes(controls=3, entries=2, workers=4, standby=1, callers=4)
_DURATIONS = Durations(8)
_MIN_DONE = 11


def test_guarantees_hold_under_the_faults_of_a_seed(tmp_path: Path) -> None:
    """A guarantee is broken while processes and connections fail."""
    verdict = asyncio.run(run_seed(7, _DURATIONS, tmp_path, _SIZES, _MIN_DONE))
    assert verdict.broken == ()
    assert verdict.faults > 5
    assert verdict.done >= _MIN_DONE
