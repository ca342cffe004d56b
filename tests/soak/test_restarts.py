"""Run some forms of a restart; ``python -m soak.restarts`` runs them all."""

import asyncio
from pathlib import Path

import pytest

from soak.restarts import FORMS, run_form


@pytest.mark.parametrize(
    'name', ['cut-1.5', 'cut-0-kill-before', 'short-task-late-poll']
)
def test_start_meant_for_the_boot_before(name: str, tmp_path: Path) -> None:
    """A run outlasts its lease, or its end is lost: the task runs twice."""
    assert asyncio.run(run_form(FORMS[name], tmp_path)) == ()
