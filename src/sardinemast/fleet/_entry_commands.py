"""Commands about entry processes."""

from typing import NamedTuple

from sardinemast.fleet._execution import accept, execute_command
from sardinemast.fleet._state import EntryProcess, FleetState, Outcome
from sardinemast.maintenance import EntryRun


class RegisterEntry(NamedTuple):
    """Note an entry process that asks for a lease and for grants.

    From then on only this incarnation gets leases. The one before it may
    still have one, so it is kept until ``RetireEntry``.
    """

    name: str
    incarnation: int
    host: str = ''
    port: int = 0


class RetireEntry(NamedTuple):
    """Forget an incarnation that surely has no lease any more."""

    name: str
    incarnation: int


@execute_command.register
def _register(command: RegisterEntry, state: FleetState) -> Outcome:
    known = state.entries.get(command.name)
    former: tuple[int, ...] = ()
    if known is not None:
        former = tuple(
            one
            for one in (*known.former, known.incarnation)
            if one != command.incarnation
        )
    registered = EntryProcess(
        command.name,
        command.incarnation,
        former,
        command.host,
        command.port,
        state.log_index,
    )
    # A run whose lease nobody asks about before a reboot would lose its work.
    run = EntryRun(command.name, command.incarnation)
    state.subsystems.maintenance.entry_runs[run] = state.log_index
    state.entries[command.name] = registered
    state.idempotency_entries[command.name] = registered
    return accept(state)


@execute_command.register
def _retire(command: RetireEntry, state: FleetState) -> Outcome:
    known = state.entries.get(command.name)
    if known is None:
        return accept(state)
    if known.incarnation == command.incarnation:
        state.entries.pop(command.name)
        return accept(state)
    former = tuple(one for one in known.former if one != command.incarnation)
    state.entries[command.name] = known._replace(former=former)
    return accept(state)
