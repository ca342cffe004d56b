"""Commands that change the fleet's state, in the order of the log."""

import hashlib

from sardinemast.fleet._dispatch import execute_command, refuse
from sardinemast.fleet._entry_commands import RegisterEntry, RetireEntry
from sardinemast.fleet._grant_commands import ChangeGrants, GrantChange
from sardinemast.fleet._operator_commands import (
    ApplyDocument,
    AssignInstance,
    GrantKey,
    OperatorCommand,
    WithdrawKey,
)
from sardinemast.fleet._state import FleetState, Outcome, RememberedCommand
from sardinemast.wire import MessageSet

Command = OperatorCommand | RegisterEntry | RetireEntry | ChangeGrants
COMMANDS = MessageSet(
    ApplyDocument,
    GrantKey,
    WithdrawKey,
    AssignInstance,
    RegisterEntry,
    RetireEntry,
    ChangeGrants,
)

__all__ = (
    'COMMANDS',
    'ApplyDocument',
    'AssignInstance',
    'ChangeGrants',
    'Command',
    'GrantChange',
    'GrantKey',
    'OperatorCommand',
    'RegisterEntry',
    'RetireEntry',
    'WithdrawKey',
    'apply_command',
)


def apply_command(state: FleetState, command: Command, index: int) -> Outcome:
    """Change the state by the command that stands at the index."""
    state.log_index = index
    command_id = getattr(command, 'command_id', '')
    if not command_id:
        return execute_command(command, state)
    digest = hashlib.sha256(COMMANDS.encode(command)).digest()
    known = state.remembered.get(command_id)
    if known is None:
        outcome = execute_command(command, state)
        state.remembered[command_id] = RememberedCommand(
            command_id,
            digest,
            outcome,
        )
        return outcome
    if known.digest == digest:
        return known.outcome
    return refuse(
        state,
        'fleet.E001',
        'This command id stands for another command.',
    )
