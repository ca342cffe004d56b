"""Wall time of the log, and retention by age and by number."""

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
    """Advance the wall time of the log; it never goes back.

    Replicas expire commands by this time alone, not by their own clocks, so
    that all of them expire the same commands at the same log index.
    """

    wall_s: float


def record_command(state: FleetState, command: RecentCommand) -> None:
    """Record a command, and drop the oldest beyond the limit."""
    state.recent_commands[command.command_id] = command
    while len(state.recent_commands) > MAX_RECENT_COMMANDS:
        state.recent_commands.pop(next(iter(state.recent_commands)))


def record_version(state: FleetState, command_id: str) -> None:
    """Record the current document, and drop the oldest beyond the limit."""
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
    """Return the document of a version, or None if it was dropped."""
    if version == 0:
        return EMPTY_DOCUMENT
    record = state.history.get(version)
    return record.document if record else None


@execute_command.register
def _advance(command: AdvanceTime, state: FleetState) -> Outcome:
    state.wall_s = max(state.wall_s, command.wall_s)
    expiry_s = state.wall_s - COMMAND_RETENTION_DAYS * _DAY_S
    # Commands are ordered by time: stop at the first one that is retained.
    while state.recent_commands:
        oldest = next(iter(state.recent_commands.values()))
        if oldest.applied_s >= expiry_s:
            break
        state.recent_commands.pop(oldest.command_id)
    return accept(state)
