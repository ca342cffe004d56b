"""What an entry is sent of the state, and how it follows the log."""

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
    """Hold what a command changes at all entries and at single ones.

    ``payload`` goes to every entry. ``grants_by_holder`` holds, by entry and
    incarnation, a payload that goes to this one besides.
    """

    log_index: int
    payload: bytes
    payload_by_holder: dict[tuple[str, int], bytes]


def dump_for_entry(
    state: FleetState,
    entry: str,
    incarnation: int,
) -> FleetImage:
    """Give what an entry needs of the state.

    It needs the other entries too: they hold idempotency keys together.
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
        jobs=jobs.EMPTY_IMAGE,
    )


def make_entry_update(
    state: FleetState,
    command: Command,
    index: int,
) -> EntryUpdate:
    """Give what entries are sent after the accepted command was applied.

    An entry has neither the remembered commands nor the history nor other
    entries' grants. A command that depends on them is sent as its result.
    """
    if isinstance(command, ChangeGrants):
        teams = {change.team for change in command.changes}
        totals = {team: state.granted_totals[team] for team in sorted(teams)}
        return EntryUpdate(
            index,
            COMMANDS.encode(NoteTotals(totals)),
            _split_grants(state, command),
        )
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
    """Follow a command that the log has accepted."""
    state.log_index = index
    return execute_command(command, state)


def _split_grants(
    state: FleetState,
    command: ChangeGrants,
) -> dict[tuple[str, int], bytes]:
    changed: dict[tuple[str, int], list[Grant]] = {}
    for change in command.changes:
        place = (change.entry, change.incarnation, change.team)
        grant = state.grants.get(place, Grant(*place, 0, state.log_index))
        changed.setdefault(place[:2], []).append(grant)
    return {
        holder: COMMANDS.encode(HoldGrants(tuple(grants)))
        for holder, grants in changed.items()
    }
