"""Commands of operators, with ids by which resends are recognised."""

from typing import NamedTuple

from sardinemast.fleet._diff import (
    MAX_CHANGES,
    DocumentChange,
    diff_documents,
)
from sardinemast.fleet._document_checks import check_document
from sardinemast.fleet._documents import FleetDocument
from sardinemast.fleet._execution import accept, execute_command, refuse
from sardinemast.fleet._state import FleetState, Instance, KeyRecord, Outcome
from sardinemast.fleet._time_commands import (
    get_version_document,
    record_version,
)
from sardinemast.maintenance import forget_instance, reassign_instance

MAX_KEYS = 50_000


class ApplyDocument(NamedTuple):
    """Replace the document of version ``based_on``."""

    command_id: str
    based_on: int
    document: FleetDocument


class RestoreVersion(NamedTuple):
    """Restore the document of an earlier version as a new version."""

    command_id: str
    based_on: int
    version: int


class GrantKey(NamedTuple):
    """Let callers with the key make requests for the team."""

    command_id: str
    key_id: str
    team: str
    digest: bytes

    def __repr__(self) -> str:
        """Omit the digest, to keep it out of logs and errors."""
        return f'GrantKey({self.command_id!r}, {self.key_id!r}, {self.team!r})'


class WithdrawKey(NamedTuple):
    """Revoke a key."""

    command_id: str
    key_id: str


class AssignInstance(NamedTuple):
    """Assign an instance to a pool, in place of its current one."""

    command_id: str
    instance: str
    pool: str


class ForgetInstance(NamedTuple):
    """Remove an instance that is gone for good."""

    command_id: str
    instance: str


OperatorCommand = (
    ApplyDocument
    | RestoreVersion
    | GrantKey
    | WithdrawKey
    | AssignInstance
    | ForgetInstance
)


@execute_command.register
def _apply_document(command: ApplyDocument, state: FleetState) -> Outcome:
    return _replace_document(command, command.document, state)


@execute_command.register
def _restore_version(command: RestoreVersion, state: FleetState) -> Outcome:
    document = get_version_document(state, command.version)
    if document is None:
        return refuse(
            state,
            'fleet.E007',
            f'Version {command.version} is not in the history.',
        )
    return _replace_document(command, document, state)


def _replace_document(
    command: ApplyDocument | RestoreVersion,
    document: FleetDocument,
    state: FleetState,
) -> Outcome:
    if command.based_on != state.version:
        return _refuse_stale(command.based_on, state)
    findings = check_document(state, document)
    if findings:
        refusal = refuse(
            state,
            'fleet.E010',
            f'The document has {len(findings)} errors.',
        )
        return refusal._replace(findings=findings)
    state.document = document
    state.version += 1
    record_version(state, command.command_id)
    return accept(state)


def _refuse_stale(based_on: int, state: FleetState) -> Outcome:
    # Of two operators who change the same version, the second must see what
    # the first changed. Otherwise its next attempt would undo the change.
    changes: tuple[DocumentChange, ...] = ()
    base = get_version_document(state, based_on)
    if base is not None:
        changes = diff_documents(base, state.document)
    refusal = refuse(
        state,
        'fleet.E002',
        f'The change is based on version {based_on}, but the current version '
        f'is {state.version}; {len(changes)} fields differ.',
    )
    return refusal._replace(changes=changes[:MAX_CHANGES])


@execute_command.register
def _grant_key(command: GrantKey, state: FleetState) -> Outcome:
    if command.team not in state.document.teams:
        return refuse(
            state, 'fleet.E003', f'Team {command.team!r} does not exist.'
        )
    if (
        command.key_id in state.keys_by_id
        or command.digest in state.keys_by_digest
    ):
        return refuse(
            state, 'fleet.E004', f'Key {command.key_id!r} already exists.'
        )
    if len(state.keys_by_id) >= MAX_KEYS:
        return refuse(
            state, 'fleet.E008', f'The limit of {MAX_KEYS} keys is reached.'
        )
    record = KeyRecord(command.key_id, command.team, command.digest)
    state.keys_by_id[record.key_id] = record
    state.keys_by_digest[record.digest] = record
    return accept(state)


@execute_command.register
def _withdraw_key(command: WithdrawKey, state: FleetState) -> Outcome:
    record = state.keys_by_id.pop(command.key_id, None)
    if record is None:
        return refuse(
            state, 'fleet.E005', f'Key {command.key_id!r} does not exist.'
        )
    state.keys_by_digest.pop(record.digest)
    return accept(state)


@execute_command.register
def _assign_instance(command: AssignInstance, state: FleetState) -> Outcome:
    if command.pool not in state.document.pools:
        return refuse(
            state, 'fleet.E006', f'Pool {command.pool!r} does not exist.'
        )
    state.instances[command.instance] = Instance(command.instance, command.pool)
    reassign_instance(
        state.subsystems.maintenance,
        command.instance,
        command.pool,
        state.log_index,
    )
    return accept(state)


@execute_command.register
def _forget_instance(command: ForgetInstance, state: FleetState) -> Outcome:
    if state.instances.pop(command.instance, None) is None:
        return refuse(
            state,
            'fleet.E009',
            f'Instance {command.instance!r} does not exist.',
        )
    forget_instance(state.subsystems.maintenance, command.instance)
    return accept(state)
