"""Commands that change the fleet's state, in the order of the log."""

import hashlib
from functools import singledispatch
from typing import NamedTuple

from sardinemast.fleet._documents import FleetDocument
from sardinemast.fleet._state import (
    EntryProcess,
    FleetState,
    Grant,
    Instance,
    KeyRecord,
    Outcome,
    RememberedCommand,
)
from sardinemast.fleet.queries import get_free_limit
from sardinemast.wire import MessageSet


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


class RegisterEntry(NamedTuple):
    """Note an entry process that asks for grants."""

    name: str
    incarnation: int
    host: str = ''
    port: int = 0


class GrantChange(NamedTuple):
    """Set what one entry incarnation may have running for a team."""

    entry: str
    incarnation: int
    team: str
    amount: int


class ChangeGrants(NamedTuple):
    """Change several grants at one index."""

    changes: tuple[GrantChange, ...]


OperatorCommand = ApplyDocument | GrantKey | WithdrawKey | AssignInstance
Command = OperatorCommand | RegisterEntry | ChangeGrants
COMMANDS = MessageSet(
    ApplyDocument,
    GrantKey,
    WithdrawKey,
    AssignInstance,
    RegisterEntry,
    ChangeGrants,
)


def apply_command(state: FleetState, command: Command, index: int) -> Outcome:
    """Change the state by the command that stands at the index."""
    state.log_index = index
    command_id = getattr(command, 'command_id', '')
    if not command_id:
        return _apply(command, state)
    digest = hashlib.sha256(COMMANDS.encode(command)).digest()
    known = state.remembered.get(command_id)
    if known is None:
        outcome = _apply(command, state)
        state.remembered[command_id] = RememberedCommand(
            command_id,
            digest,
            outcome,
        )
        return outcome
    if known.digest == digest:
        return known.outcome
    return _refuse(
        state,
        'fleet.E001',
        'This command id stands for another command.',
    )


@singledispatch
def _apply(command: Command, state: FleetState) -> Outcome:
    raise TypeError(command)


@_apply.register
def _apply_document(command: ApplyDocument, state: FleetState) -> Outcome:
    if command.based_on != state.version:
        return _refuse(
            state,
            'fleet.E002',
            f'Based on version {command.based_on}, but version '
            f'{state.version} is in place.',
        )
    state.document = command.document
    return _accept_version(state)


@_apply.register
def _apply_key(command: GrantKey, state: FleetState) -> Outcome:
    if command.team not in state.document.teams:
        return _refuse(state, 'fleet.E003', f'No team {command.team!r}.')
    if (
        command.key_id in state.keys_by_id
        or command.digest in state.keys_by_digest
    ):
        return _refuse(state, 'fleet.E004', f'Key {command.key_id!r} exists.')
    record = KeyRecord(command.key_id, command.team, command.digest)
    state.keys_by_id[record.key_id] = record
    state.keys_by_digest[record.digest] = record
    return _accept(state)


@_apply.register
def _apply_withdrawal(command: WithdrawKey, state: FleetState) -> Outcome:
    record = state.keys_by_id.pop(command.key_id, None)
    if record is None:
        return _refuse(state, 'fleet.E005', f'No key {command.key_id!r}.')
    state.keys_by_digest.pop(record.digest)
    return _accept(state)


@_apply.register
def _apply_assignment(command: AssignInstance, state: FleetState) -> Outcome:
    if command.pool not in state.document.pools:
        return _refuse(state, 'fleet.E006', f'No pool {command.pool!r}.')
    state.instances[command.instance] = Instance(command.instance, command.pool)
    return _accept(state)


@_apply.register
def _apply_entry(command: RegisterEntry, state: FleetState) -> Outcome:
    state.entries[command.name] = EntryProcess(
        command.name,
        command.incarnation,
        command.host,
        command.port,
        state.log_index,
    )
    return _accept(state)


@_apply.register
def _apply_grants(command: ChangeGrants, state: FleetState) -> Outcome:
    for change in command.changes:
        _change_grant(state, change)
    return _accept(state)


def _change_grant(state: FleetState, change: GrantChange) -> None:
    place = (change.entry, change.incarnation, change.team)
    known = state.grants.get(place)
    held = known.amount if known else 0
    # The leader splits by the state it has; a command of a former leader may
    # be applied after the limit went down. Raising past the limit here would
    # let a team run more than it may, so the raise is cut to what is free.
    free = max(0, get_free_limit(state, change.team))
    amount = min(change.amount, held + free)
    if amount > 0:
        state.grants[place] = Grant(*place, amount, state.log_index)
    else:
        state.grants.pop(place, None)


def _accept_version(state: FleetState) -> Outcome:
    state.version += 1
    return _accept(state)


def _accept(state: FleetState) -> Outcome:
    return Outcome(is_accepted=True, version=state.version)


def _refuse(state: FleetState, code: str, text: str) -> Outcome:
    return Outcome(False, state.version, code, text)
