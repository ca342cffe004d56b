"""Commands: what changes something."""

import secrets
import uuid
from pathlib import Path
from typing import Any

from sardinemast.cli._addresses import get_controls
from sardinemast.cli._client import ask_leader, send_command
from sardinemast.cli.exceptions import CliError
from sardinemast.conf import load_fleet_files
from sardinemast.fleet import (
    ApplyDocument,
    AssignInstance,
    ForgetInstance,
    GrantKey,
    RestoreVersion,
    WithdrawKey,
    digest_key,
)

_KEY_BYTES = 32


def apply(
    base: str,
    *overlays: str,
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Put a base file and its overlays in force, as one change.

    Args:
        base: The base file, with sites, pools and teams.
        overlays: Files that change pools for one site each.
        controls: Operators' addresses of the control processes.
        command_id: Give the id that was shown, to send a command again.

    """
    document = load_fleet_files(
        Path(str(base)),
        [Path(str(overlay)) for overlay in overlays],
    )
    addresses = get_controls(controls)
    version = ask_leader(addresses, '/v1/state')['version']
    command = ApplyDocument(make_id(command_id), version, document)
    return send_command(addresses, command)


def grant_key(
    team: str,
    key_id: str = '',
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Make a key for a team and show it, this one time.

    Args:
        team: The team that the key's callers work for.
        key_id: A name to withdraw the key by; made up where left out.
        controls: Operators' addresses of the control processes.
        command_id: Name the command; a new key is made all the same.

    """
    key = secrets.token_urlsafe(_KEY_BYTES)
    named = make_id(key_id)
    answer = send_command(
        get_controls(controls),
        GrantKey(make_id(command_id), named, str(team), digest_key(key)),
    )
    return {**answer, 'key_id': named, 'key': key}


def withdraw_key(
    key_id: str,
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Stop a key from working, everywhere.

    Args:
        key_id: The name that was shown when the key was made.
        controls: Operators' addresses of the control processes.
        command_id: Give the id that was shown, to send a command again.

    """
    command = WithdrawKey(make_id(command_id), str(key_id))
    return send_command(get_controls(controls), command)


def assign_instance(
    instance: str,
    pool: str,
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Put an instance into a pool; it leaves the one it was in.

    Args:
        instance: The name under which the instance announces itself.
        pool: The pool to put it into.
        controls: Operators' addresses of the control processes.
        command_id: Give the id that was shown, to send a command again.

    """
    command = AssignInstance(make_id(command_id), str(instance), str(pool))
    return send_command(get_controls(controls), command)


def restore(
    version: int,
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Put an earlier version of the configuration in force, as a new one.

    Args:
        version: The number of the version, as history shows it.
        controls: Operators' addresses of the control processes.
        command_id: Give the id that was shown, to send a command again.

    """
    addresses = get_controls(controls)
    based_on = ask_leader(addresses, '/v1/state')['version']
    command = RestoreVersion(make_id(command_id), based_on, int(version))
    return send_command(addresses, command)


def forget_instance(
    instance: str,
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Take an instance that is gone for good out of its pool.

    Args:
        instance: The name under which the instance announced itself.
        controls: Operators' addresses of the control processes.
        command_id: Give the id that was shown, to send a command again.

    """
    command = ForgetInstance(make_id(command_id), str(instance))
    return send_command(get_controls(controls), command)


def repair_replica(name: str, controls: str = '') -> dict[str, Any]:
    """Have a replica set its data folder aside and join with a new one.

    Args:
        name: The control process whose data folder is lost or damaged.
        controls: Operators' addresses of the control processes.

    """
    answer = ask_leader(
        get_controls(controls),
        f'/v1/replicas/{name}/repair',
        b'',
    )
    if answer.get('is_accepted'):
        return answer
    raise CliError(str(answer['code']), str(answer['text']))


def make_id(given: str = '') -> str:
    """Give the id that was given, or one that no other command has."""
    return str(given) or uuid.uuid4().hex
