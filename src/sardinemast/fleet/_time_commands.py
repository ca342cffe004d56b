"""Time in the log, and what is forgotten by it."""

from typing import NamedTuple

from sardinemast.fleet._dispatch import accept, execute_command
from sardinemast.fleet._documents import EMPTY_DOCUMENT, FleetDocument
from sardinemast.fleet._state import (
    FleetState,
    Outcome,
    RememberedCommand,
    VersionRecord,
)

_DAY_S = 86_400
REMEMBERED_DAYS = 7
MAX_REMEMBERED = 20_000
MAX_VERSIONS = 32


class AdvanceTime(NamedTuple):
    """Move the log's wall time on; it never goes back.

    The leader's clock enters the log here and nowhere else, so that all
    replicas forget the same commands at the same index.
    """

    wall_s: float


def remember(state: FleetState, command: RememberedCommand) -> None:
    """Keep the answer, and drop the oldest beyond the bound."""
    state.remembered[command.command_id] = command
    while len(state.remembered) > MAX_REMEMBERED:
        state.remembered.pop(next(iter(state.remembered)))


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
    forgotten_s = state.wall_s - REMEMBERED_DAYS * _DAY_S
    # Commands stand in the order of their times, so the first that is young
    # enough ends the search.
    while state.remembered:
        oldest = next(iter(state.remembered.values()))
        if oldest.noted_s >= forgotten_s:
            break
        state.remembered.pop(oldest.command_id)
    return accept(state)
