"""Commands about entry processes."""

from typing import NamedTuple

from sardinemast.fleet._execution import accept, execute_command
from sardinemast.fleet._state import EntryProcess, FleetState, Outcome
from sardinemast.maintenance import EntryRun


class RegisterEntry(NamedTuple):
    """Register an entry process that requests a lease and grants.

    Only the registered incarnation gets leases from then on. The previous one
    may still have a lease, so it is kept until ``RetireEntry``.
    """

    name: str
    incarnation: int
    host: str = ''
    port: int = 0


class RetireEntry(NamedTuple):
    """Remove an incarnation whose leases have all expired."""

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
    # Before a reboot, maintenance asks each known run of an entry whether it
    # still has work on the instance.
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
