"""Way from a command to the function that carries it out."""

from functools import singledispatch
from typing import Any

from sardinemast.fleet._state import FleetState, Outcome


@singledispatch
def execute_command(command: Any, state: FleetState) -> Outcome:
    """Change the state by the command; each command registers its own."""
    raise TypeError(type(command))


def accept(state: FleetState) -> Outcome:
    """Answer that the command is carried out."""
    return Outcome(is_accepted=True, version=state.version)


def refuse(state: FleetState, code: str, text: str) -> Outcome:
    """Answer that the command changed nothing."""
    return Outcome(False, state.version, code, text)
