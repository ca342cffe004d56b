"""Commands about instances that announce themselves."""

from typing import NamedTuple

from sardinemast.fleet._execution import accept, execute_command
from sardinemast.fleet._state import FleetState, Instance, Outcome

MAX_INSTANCES = 5000


class RegisterInstances(NamedTuple):
    """Put instances that the log does not know into the pools they announce.

    Unlike ``AssignInstance`` it moves nothing: an operator may have assigned
    the instance while this was under way, and that must stand.
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
