"""Golden files of whole sessions.

A session feeds events to a core and writes down each event and all outputs.
``UPDATE_GOLDEN=1 make test`` writes the files anew; the change is then read
and committed like any other.
"""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

_FOLDER = Path(__file__).parent.parent / 'golden'


class Session:
    """Write down what goes into a core and what comes out."""

    def __init__(self, step: Callable[[Any, float], list[Any]]) -> None:
        self._step = step
        self._lines: list[str] = []

    @property
    def transcript(self) -> str:
        """Give the whole session as text."""
        return '\n'.join((*self._lines, ''))

    def note(self, text: str) -> None:
        """Write a sentence between events."""
        self._lines.append(f'# {text}')

    def step(self, event: Any, now_s: float) -> list[Any]:
        """Feed one event, and give the outputs."""
        outputs = self._step(event, now_s)
        self._lines.append(f'{now_s:8.3f} > {event}')
        self._lines.extend(f'{" " * 8} < {output}' for output in outputs)
        return outputs


def check_golden(name: str, transcript: str) -> None:
    """Compare a transcript with the golden file of the name."""
    path = _FOLDER / f'{name}.txt'
    if os.environ.get('UPDATE_GOLDEN'):
        path.write_text(transcript)
    assert transcript == path.read_text()
