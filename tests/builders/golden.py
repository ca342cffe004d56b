"""Golden files of recorded sessions.

A session passes events to a core and records each event with its outputs.
``UPDATE_GOLDEN=1 make test`` rewrites the files; review the diff before
committing it.
"""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

_FOLDER = Path(__file__).parent.parent / 'golden'


class Session:
    """Record the events and outputs of a core."""

    def __init__(self, step: Callable[[Any, float], list[Any]]) -> None:
        self._step = step
        self._lines: list[str] = []

    @property
    def transcript(self) -> str:
        """Return the whole session as text."""
        return '\n'.join((*self._lines, ''))

    def note(self, text: str) -> None:
        """Add a comment line between events."""
        self._lines.append(f'# {text}')

    def step(self, event: Any, now_s: float) -> list[Any]:
        """Pass an event to the core and return its outputs."""
        outputs = self._step(event, now_s)
        self._lines.append(f'{now_s:8.3f} > {event}')
        self._lines.extend(f'{" " * 8} < {output}' for output in outputs)
        return outputs


def check_golden(name: str, transcript: str) -> None:
    """Compare a transcript with the golden file of this name."""
    path = _FOLDER / f'{name}.txt'
    if os.environ.get('UPDATE_GOLDEN'):
        path.write_text(transcript)
    assert transcript == path.read_text()
