"""Execution of the commands of maintenance, placement and jobs."""

from sardinemast import jobs, maintenance, placement
from sardinemast.fleet._execution import accept, execute_command, refuse
from sardinemast.fleet._state import FleetState, Instance, Outcome

SUBSYSTEM_COMMAND_CLASSES = (
    *maintenance.COMMAND_CLASSES,
    *placement.COMMAND_CLASSES,
    *jobs.COMMAND_CLASSES,
)


def _execute_maintenance(
    command: maintenance.Command,
    state: FleetState,
) -> Outcome:
    refusal = maintenance.apply_command(
        state.subsystems.maintenance,
        command,
        state.log_index,
    )
    if refusal is not None:
        return refuse(state, refusal.code, refusal.text)
    if isinstance(command, maintenance.commands.JoinPool):
        _sync_pools(state)
    return accept(state)


def _execute_placement(
    command: placement.Command,
    state: FleetState,
) -> Outcome:
    placement.apply_command(
        state.subsystems.placement, command, state.log_index
    )
    return accept(state)


def _execute_jobs(command: jobs.Command, state: FleetState) -> Outcome:
    jobs.apply_command(command, state.subsystems.jobs, state.log_index)
    return accept(state)


def _execute_evacuation(
    command: jobs.commands.EvacuationCommand,
    state: FleetState,
) -> Outcome:
    refusal = refuse_unknown_data_centre(state, command.data_centre)
    return refusal or _execute_jobs(command, state)


def refuse_unknown_data_centre(
    state: FleetState,
    name: str,
) -> Outcome | None:
    """Refuse a name that is no declared site and never had a worker."""
    if name in state.data_centres:
        return None
    return refuse(state, 'fleet.E018', f'Data centre {name!r} does not exist.')


def _sync_pools(state: FleetState) -> None:
    # Entries route by the pools in the fleet's state, so these must follow
    # when maintenance moves an instance.
    for planned in state.subsystems.maintenance.instances.values():
        known = state.instances.get(planned.name)
        if known is not None and known.pool != planned.pool:
            state.instances[planned.name] = Instance(
                planned.name,
                planned.pool,
            )


def _register() -> None:
    for maintenance_class in maintenance.COMMAND_CLASSES:
        execute_command.register(maintenance_class, _execute_maintenance)
    for placement_class in placement.COMMAND_CLASSES:
        execute_command.register(placement_class, _execute_placement)
    for jobs_class in jobs.COMMAND_CLASSES:
        execute_command.register(jobs_class, _execute_jobs)
    execute_command.register(
        jobs.commands.EvacuateDataCentre, _execute_evacuation
    )
    execute_command.register(
        jobs.commands.ReadmitDataCentre, _execute_evacuation
    )


_register()
