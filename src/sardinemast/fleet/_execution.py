"""Registry of the functions that execute commands."""

from functools import singledispatch
from typing import Any

from sardinemast.fleet._state import FleetState, Outcome


@singledispatch
def execute_command(command: Any, state: FleetState) -> Outcome:
    """Execute a command; each command class registers its function."""
    raise TypeError(type(command))


def accept(state: FleetState) -> Outcome:
    """Return the outcome of an executed command."""
    return Outcome(is_accepted=True, version=state.version)


def refuse(state: FleetState, code: str, text: str) -> Outcome:
    """Return the outcome of a command that is refused."""
    return Outcome(False, state.version, code, text)
