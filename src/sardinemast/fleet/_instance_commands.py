"""Command that registers instances that announce themselves."""

from typing import NamedTuple

from sardinemast.fleet._execution import accept, execute_command
from sardinemast.fleet._state import FleetState, Instance, Outcome

MAX_INSTANCES = 5000


class RegisterInstances(NamedTuple):
    """Add unknown instances to the pools that they announce.

    Known instances keep their pool: an operator may have assigned one since
    this command was proposed.
    """

    instances: tuple[Instance, ...]


@execute_command.register
def _register_instances(
    command: RegisterInstances,
    state: FleetState,
) -> Outcome:
    for instance in command.instances:
        is_new = instance.name not in state.instances
        is_declared = instance.pool in state.document.pools
        if is_new and is_declared and len(state.instances) < MAX_INSTANCES:
            state.instances[instance.name] = instance
    return accept(state)
