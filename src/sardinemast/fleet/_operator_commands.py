"""Commands of operators; each carries an id, so that a resend is known."""

from typing import NamedTuple

from sardinemast.fleet._dispatch import accept, execute_command, refuse
from sardinemast.fleet._documents import FleetDocument
from sardinemast.fleet._state import FleetState, Instance, KeyRecord, Outcome


class ApplyDocument(NamedTuple):
    """Put a whole document in place of the one of ``based_on``."""

    command_id: str
    based_on: int
    document: FleetDocument


class GrantKey(NamedTuple):
    """Let whoever presents the key work for the team."""

    command_id: str
    key_id: str
    team: str
    digest: bytes


class WithdrawKey(NamedTuple):
    """Stop a key from working."""

    command_id: str
    key_id: str


class AssignInstance(NamedTuple):
    """Put an instance into a pool; it leaves the one it was in."""

    command_id: str
    instance: str
    pool: str


OperatorCommand = ApplyDocument | GrantKey | WithdrawKey | AssignInstance


@execute_command.register
def _apply_document(command: ApplyDocument, state: FleetState) -> Outcome:
    if command.based_on != state.version:
        return refuse(
            state,
            'fleet.E002',
            f'Based on version {command.based_on}, but version '
            f'{state.version} is in place.',
        )
    state.document = command.document
    state.version += 1
    return accept(state)


@execute_command.register
def _grant_key(command: GrantKey, state: FleetState) -> Outcome:
    if command.team not in state.document.teams:
        return refuse(state, 'fleet.E003', f'No team {command.team!r}.')
    if (
        command.key_id in state.keys_by_id
        or command.digest in state.keys_by_digest
    ):
        return refuse(state, 'fleet.E004', f'Key {command.key_id!r} exists.')
    record = KeyRecord(command.key_id, command.team, command.digest)
    state.keys_by_id[record.key_id] = record
    state.keys_by_digest[record.digest] = record
    return accept(state)


@execute_command.register
def _withdraw_key(command: WithdrawKey, state: FleetState) -> Outcome:
    record = state.keys_by_id.pop(command.key_id, None)
    if record is None:
        return refuse(state, 'fleet.E005', f'No key {command.key_id!r}.')
    state.keys_by_digest.pop(record.digest)
    return accept(state)


@execute_command.register
def _assign_instance(command: AssignInstance, state: FleetState) -> Outcome:
    if command.pool not in state.document.pools:
        return refuse(state, 'fleet.E006', f'No pool {command.pool!r}.')
    state.instances[command.instance] = Instance(command.instance, command.pool)
    return accept(state)
