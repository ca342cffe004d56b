"""Time in the log, and what is forgotten by it."""

from typing import NamedTuple

from sardinemast.fleet._documents import EMPTY_DOCUMENT, FleetDocument
from sardinemast.fleet._execution import accept, execute_command
from sardinemast.fleet._state import (
    FleetState,
    Outcome,
    RecentCommand,
    VersionRecord,
)

_DAY_S = 86_400
COMMAND_RETENTION_DAYS = 7
MAX_RECENT_COMMANDS = 20_000
MAX_VERSIONS = 32


class AdvanceTime(NamedTuple):
    """Move the log's wall time on; it never goes back.

    The leader's clock enters the log here and nowhere else, so that all
    replicas forget the same commands at the same index.
    """

    wall_s: float


def remember(state: FleetState, command: RecentCommand) -> None:
    """Keep the answer, and drop the oldest beyond the bound."""
    state.recent_commands[command.command_id] = command
    while len(state.recent_commands) > MAX_RECENT_COMMANDS:
        state.recent_commands.pop(next(iter(state.recent_commands)))


def keep_version(state: FleetState, command_id: str) -> None:
    """Keep the document in place, and drop the oldest beyond the bound."""
    state.history[state.version] = VersionRecord(
        state.version,
        state.wall_s,
        command_id,
        state.document,
    )
    while len(state.history) > MAX_VERSIONS:
        state.history.pop(next(iter(state.history)))


def get_version_document(
    state: FleetState,
    version: int,
) -> FleetDocument | None:
    """Give the document of a version, or nothing where it is not kept."""
    if version == 0:
        return EMPTY_DOCUMENT
    record = state.history.get(version)
    return record.document if record else None


@execute_command.register
def _advance(command: AdvanceTime, state: FleetState) -> Outcome:
    state.wall_s = max(state.wall_s, command.wall_s)
    forgotten_s = state.wall_s - COMMAND_RETENTION_DAYS * _DAY_S
    # Commands stand in the order of their times, so the first that is young
    # enough ends the search.
    while state.recent_commands:
        oldest = next(iter(state.recent_commands.values()))
        if oldest.noted_s >= forgotten_s:
            break
        state.recent_commands.pop(oldest.command_id)
    return accept(state)
