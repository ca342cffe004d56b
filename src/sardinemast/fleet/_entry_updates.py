"""Parts of the state and of the log that are sent to entries."""

from typing import NamedTuple

from sardinemast import jobs, placement
from sardinemast.fleet._execution import execute_command
from sardinemast.fleet._state import (
    FleetImage,
    FleetState,
    Grant,
    Outcome,
    dump_state,
)
from sardinemast.fleet.commands import (
    COMMANDS,
    AdvanceTime,
    ApplyDocument,
    ChangeGrants,
    Command,
    HoldGrants,
    NoteTotals,
    RestoreVersion,
)


class EntryUpdate(NamedTuple):
    """Hold what entries are sent about an applied command.

    ``payload`` is sent to every entry. ``payload_by_holder`` maps an entry and
    incarnation to a further payload that only this one is sent.
    """

    log_index: int
    payload: bytes
    payload_by_holder: dict[tuple[str, int], bytes]


def dump_for_entry(
    state: FleetState,
    entry: str,
    incarnation: int,
) -> FleetImage:
    """Return the parts of the state that an entry needs.

    These include the other entries, with which it stores idempotency keys.
    """
    grants = tuple(
        grant
        for grant in state.grants.values()
        if (grant.entry, grant.incarnation) == (entry, incarnation)
    )
    return dump_state(state)._replace(
        grants=grants,
        recent_commands=(),
        history=(),
        placement=placement.EMPTY_IMAGE,
        jobs=jobs.EMPTY_IMAGE._replace(
            evacuated=tuple(state.subsystems.jobs.data_centres.evacuated),
        ),
    )


def make_entry_update(
    state: FleetState,
    command: Command,
    index: int,
) -> EntryUpdate:
    """Return what entries are sent about an applied command.

    Entries have no recent commands, no history, no workers and no grants of
    others. Commands that depend on these are sent as their result.
    """
    if isinstance(command, ChangeGrants):
        teams = {change.team for change in command.changes}
        totals = {team: state.granted_totals[team] for team in sorted(teams)}
        return EntryUpdate(
            index,
            COMMANDS.encode(NoteTotals(totals)),
            _encode_grants_by_holder(state, command),
        )
    if isinstance(command, jobs.commands.EvacuationCommand):
        names = tuple(state.subsystems.jobs.data_centres.evacuated)
        noted = COMMANDS.encode(jobs.commands.NoteEvacuated(names))
        return EntryUpdate(index, noted, {})
    if isinstance(command, AdvanceTime | placement.Command | jobs.Command):
        return EntryUpdate(index, b'', {})
    if isinstance(command, RestoreVersion):
        command = ApplyDocument('', state.version - 1, state.document)
    return EntryUpdate(index, COMMANDS.encode(command), {})


def replay_command(
    state: FleetState,
    command: Command,
    index: int,
) -> Outcome:
    """Apply a command that an entry was sent."""
    state.log_index = index
    return execute_command(command, state)


def _encode_grants_by_holder(
    state: FleetState,
    command: ChangeGrants,
) -> dict[tuple[str, int], bytes]:
    changed: dict[tuple[str, int], list[Grant]] = {}
    for change in command.changes:
        grant_key = (change.entry, change.incarnation, change.team)
        grant = state.grants.get(
            grant_key, Grant(*grant_key, 0, state.log_index)
        )
        changed.setdefault(grant_key[:2], []).append(grant)
    return {
        holder: COMMANDS.encode(HoldGrants(tuple(grants)))
        for holder, grants in changed.items()
    }
