"""Commands: what changes something."""

import secrets
import uuid
from pathlib import Path
from typing import Any

from sardinemast.cli._client import ask_leader, send_command
from sardinemast.cli.exceptions import CliError
from sardinemast.conf import load_fleet_files
from sardinemast.fleet import (
    ApplyDocument,
    Command,
    GrantKey,
    WithdrawKey,
    digest_key,
)

_KEY_BYTES = 32
_DEFAULT_CONTROLS = '127.0.0.1:8101'


def apply(
    base: str,
    *overlays: str,
    controls: str = _DEFAULT_CONTROLS,
    command_id: str = '',
) -> dict[str, Any]:
    """Put a base file and its overlays in force."""
    document = load_fleet_files(
        Path(base),
        [Path(overlay) for overlay in overlays],
    )
    addresses = split_addresses(controls)
    version = ask_leader(addresses, '/v1/state')['version']
    return _send(
        addresses,
        ApplyDocument(command_id or make_id(), version, document),
    )


def grant_key(
    team: str,
    key_id: str = '',
    controls: str = _DEFAULT_CONTROLS,
    command_id: str = '',
) -> dict[str, Any]:
    """Make a key for a team and show it, this one time."""
    key = secrets.token_urlsafe(_KEY_BYTES)
    key_id = key_id or make_id()
    answer = _send(
        split_addresses(controls),
        GrantKey(command_id or make_id(), key_id, team, digest_key(key)),
    )
    return {**answer, 'key_id': key_id, 'key': key}


def withdraw_key(
    key_id: str,
    controls: str = _DEFAULT_CONTROLS,
    command_id: str = '',
) -> dict[str, Any]:
    """Stop a key from working."""
    return _send(
        split_addresses(controls),
        WithdrawKey(command_id or make_id(), key_id),
    )


def repair_replica(
    name: str,
    controls: str = _DEFAULT_CONTROLS,
) -> dict[str, Any]:
    """Have a replica set its data folder aside and join with a new one."""
    answer = ask_leader(
        split_addresses(controls),
        f'/v1/replicas/{name}/repair',
        b'',
    )
    if answer.get('is_accepted'):
        return answer
    raise CliError(str(answer['code']), str(answer['text']))


def split_addresses(controls: Any) -> list[str]:
    """Give the addresses that stand in a text with commas."""
    if isinstance(controls, str):
        return controls.split(',')
    return [str(address) for address in controls]


def make_id() -> str:
    """Make an id that no other command has."""
    return uuid.uuid4().hex


def _send(addresses: list[str], command: Command) -> dict[str, Any]:
    answer = send_command(addresses, command)
    if answer.get('is_accepted'):
        command_id = getattr(command, 'command_id', '')
        return {'command_id': command_id, **answer}
    raise CliError(
        str(answer.get('code', 'cli.E002')),
        str(answer.get('text', 'The command was refused.')),
    )
