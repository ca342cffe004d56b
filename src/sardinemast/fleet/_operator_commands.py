"""Commands of operators; each carries an id, so that a resend is known."""

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
from sardinemast.fleet._time_commands import get_version_document, keep_version
from sardinemast.maintenance import forget_instance, reassign_instance

MAX_KEYS = 50_000


class ApplyDocument(NamedTuple):
    """Put a whole document in place of the one of ``based_on``."""

    command_id: str
    based_on: int
    document: FleetDocument


class RestoreVersion(NamedTuple):
    """Put the document of an earlier version in place, as a new version."""

    command_id: str
    based_on: int
    version: int


class GrantKey(NamedTuple):
    """Let whoever presents the key work for the team."""

    command_id: str
    key_id: str
    team: str
    digest: bytes

    def __repr__(self) -> str:
        """Leave the digest out, so that no log or error shows it."""
        return f'GrantKey({self.command_id!r}, {self.key_id!r}, {self.team!r})'


class WithdrawKey(NamedTuple):
    """Stop a key from working."""

    command_id: str
    key_id: str


class AssignInstance(NamedTuple):
    """Put an instance into a pool; it leaves the one it was in."""

    command_id: str
    instance: str
    pool: str


class ForgetInstance(NamedTuple):
    """Take an instance that is gone for good out of its pool."""

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
            f'Version {command.version} is not kept.',
        )
    return _replace_document(command, document, state)


def _replace_document(
    command: ApplyDocument | RestoreVersion,
    document: FleetDocument,
    state: FleetState,
) -> Outcome:
    if command.based_on != state.version:
        return _refuse_loser(command.based_on, state)
    findings = check_document(state, document)
    if findings:
        refusal = refuse(
            state,
            'fleet.E010',
            f'The document has {len(findings)} mistakes.',
        )
        return refusal._replace(findings=findings)
    state.document = document
    state.version += 1
    keep_version(state, command.command_id)
    return accept(state)


def _refuse_loser(based_on: int, state: FleetState) -> Outcome:
    # Two operators start from the same version. The second must see what the
    # first changed, or it would put the old values back with its next try.
    changes: tuple[DocumentChange, ...] = ()
    base = get_version_document(state, based_on)
    if base is not None:
        changes = diff_documents(base, state.document)
    refusal = refuse(
        state,
        'fleet.E002',
        f'Based on version {based_on}, but version '
        f'{state.version} is in place; {len(changes)} fields differ.',
    )
    return refusal._replace(changes=changes[:MAX_CHANGES])


@execute_command.register
def _grant_key(command: GrantKey, state: FleetState) -> Outcome:
    if command.team not in state.document.teams:
        return refuse(state, 'fleet.E003', f'No team {command.team!r}.')
    if (
        command.key_id in state.keys_by_id
        or command.digest in state.keys_by_digest
    ):
        return refuse(state, 'fleet.E004', f'Key {command.key_id!r} exists.')
    if len(state.keys_by_id) >= MAX_KEYS:
        return refuse(state, 'fleet.E008', f'There are {MAX_KEYS} keys.')
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
            f'No instance {command.instance!r}.',
        )
    forget_instance(state.subsystems.maintenance, command.instance)
    return accept(state)
