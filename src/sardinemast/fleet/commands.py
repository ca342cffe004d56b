"""Commands that change the fleet's state, applied in log order."""

import hashlib

import cbor2

from sardinemast import jobs, maintenance, placement
from sardinemast.fleet._entry_commands import RegisterEntry, RetireEntry
from sardinemast.fleet._execution import execute_command, refuse
from sardinemast.fleet._grant_commands import (
    ChangeGrants,
    GrantChange,
    HoldGrants,
    NoteTotals,
)
from sardinemast.fleet._instance_commands import RegisterInstances
from sardinemast.fleet._operator_commands import (
    ApplyDocument,
    AssignInstance,
    ForgetInstance,
    GrantKey,
    OperatorCommand,
    RestoreVersion,
    WithdrawKey,
)
from sardinemast.fleet._state import FleetState, Outcome, RecentCommand
from sardinemast.fleet._subsystem_commands import SUBSYSTEM_COMMAND_CLASSES
from sardinemast.fleet._time_commands import AdvanceTime, record_command
from sardinemast.wire import MessageSet

Command = (
    OperatorCommand
    | RegisterEntry
    | RetireEntry
    | RegisterInstances
    | ChangeGrants
    | HoldGrants
    | NoteTotals
    | AdvanceTime
    | maintenance.Command
    | placement.Command
    | jobs.Command
)
_OPERATOR_CLASSES = (
    ApplyDocument,
    RestoreVersion,
    GrantKey,
    WithdrawKey,
    AssignInstance,
    ForgetInstance,
)
OPERATOR_COMMANDS = MessageSet(
    *_OPERATOR_CLASSES,
    jobs.commands.EvacuateDataCentre,
    jobs.commands.ReadmitDataCentre,
)
COMMANDS = MessageSet(
    *_OPERATOR_CLASSES,
    RegisterEntry,
    RetireEntry,
    RegisterInstances,
    ChangeGrants,
    HoldGrants,
    NoteTotals,
    AdvanceTime,
    *SUBSYSTEM_COMMAND_CLASSES,
)

__all__ = (
    'COMMANDS',
    'OPERATOR_COMMANDS',
    'AdvanceTime',
    'ApplyDocument',
    'AssignInstance',
    'ChangeGrants',
    'Command',
    'ForgetInstance',
    'GrantChange',
    'GrantKey',
    'HoldGrants',
    'NoteTotals',
    'OperatorCommand',
    'RegisterEntry',
    'RegisterInstances',
    'RestoreVersion',
    'RetireEntry',
    'WithdrawKey',
    'apply_command',
    'is_known_command',
)


def apply_command(state: FleetState, command: Command, index: int) -> Outcome:
    """Apply the command at the log index and return its outcome."""
    state.log_index = index
    command_id = getattr(command, 'command_id', '')
    if not command_id:
        return execute_command(command, state)
    digest = _digest(command)
    known = state.recent_commands.get(command_id)
    if known is None:
        outcome = execute_command(command, state)
        record_command(
            state,
            RecentCommand(command_id, digest, outcome, state.wall_s),
        )
        return outcome
    if known.digest == digest:
        return known.outcome
    return refuse(
        state,
        'fleet.E001',
        'The command id was used for another command.',
    )


def is_known_command(state: FleetState, command: Command) -> bool:
    """Check whether the id of the command was used before."""
    command_id = getattr(command, 'command_id', '')
    return command_id in state.recent_commands


def _digest(command: Command) -> bytes:
    # The command line reads the current version before each attempt, so a
    # resend may be based on the version that the first attempt created.
    if isinstance(command, ApplyDocument | RestoreVersion):
        command = command._replace(based_on=0)
    packed = COMMANDS.pack(command)
    return hashlib.sha256(cbor2.dumps(packed, canonical=True)).digest()
