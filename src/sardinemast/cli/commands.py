"""Calls that change the state of the fleet."""

import secrets
import uuid
from pathlib import Path
from typing import Any

from sardinemast.cli._addresses import get_controls
from sardinemast.cli._client import request_leader, send_command
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
from sardinemast.jobs.commands import EvacuateDataCentre, ReadmitDataCentre

_KEY_BYTES = 32


def apply(
    base: str,
    *overlays: str,
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Apply a base file and its overlays as one change.

    Args:
        base: The base file, with sites, pools and teams.
        overlays: Files that each change the pools of one site.
        controls: Operators' addresses of the control processes.
        command_id: The id that was shown, to retry a command.

    """
    document = load_fleet_files(
        Path(str(base)),
        [Path(str(overlay)) for overlay in overlays],
    )
    addresses = get_controls(controls)
    version = request_leader(addresses, '/v1/state')['version']
    command = ApplyDocument(make_id(command_id), version, document)
    return send_command(addresses, command)


def grant_key(
    team: str,
    key_id: str = '',
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Create an API key for a team and show it once.

    Args:
        team: The team of the callers that use the key.
        key_id: A name to withdraw the key by; generated if omitted.
        controls: Operators' addresses of the control processes.
        command_id: An id for the command; a new key is created anyway.

    """
    key = secrets.token_urlsafe(_KEY_BYTES)
    granted_id = make_id(key_id)
    answer = send_command(
        get_controls(controls),
        GrantKey(make_id(command_id), granted_id, str(team), digest_key(key)),
    )
    return {**answer, 'key_id': granted_id, 'key': key}


def withdraw_key(
    key_id: str,
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Revoke an API key at all entries.

    Args:
        key_id: The name that was shown when the key was created.
        controls: Operators' addresses of the control processes.
        command_id: The id that was shown, to retry a command.

    """
    command = WithdrawKey(make_id(command_id), str(key_id))
    return send_command(get_controls(controls), command)


def assign_instance(
    instance: str,
    pool: str,
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Assign an instance to a pool, and remove it from its previous one.

    Args:
        instance: The name that the instance announces.
        pool: The new pool of the instance.
        controls: Operators' addresses of the control processes.
        command_id: The id that was shown, to retry a command.

    """
    command = AssignInstance(make_id(command_id), str(instance), str(pool))
    return send_command(get_controls(controls), command)


def restore(
    version: int,
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Apply an earlier version of the configuration as a new version.

    Args:
        version: The number of the version, as shown by history.
        controls: Operators' addresses of the control processes.
        command_id: The id that was shown, to retry a command.

    """
    addresses = get_controls(controls)
    based_on = request_leader(addresses, '/v1/state')['version']
    command = RestoreVersion(make_id(command_id), based_on, int(version))
    return send_command(addresses, command)


def forget_instance(
    instance: str,
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Remove a decommissioned instance from its pool.

    Args:
        instance: The name that the instance announced.
        controls: Operators' addresses of the control processes.
        command_id: The id that was shown, to retry a command.

    """
    command = ForgetInstance(make_id(command_id), str(instance))
    return send_command(get_controls(controls), command)


def evacuate(
    data_centre: str,
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """Send nothing more to a data centre, until it is readmitted.

    Args:
        data_centre: The name that its workers and entries announce.
        controls: Operators' addresses of the control processes.
        command_id: The id that was shown, to retry a command.

    """
    command = EvacuateDataCentre(make_id(command_id), str(data_centre))
    return send_command(get_controls(controls), command)


def readmit(
    data_centre: str,
    controls: str = '',
    command_id: str = '',
) -> dict[str, Any]:
    """End the evacuation of a data centre.

    Args:
        data_centre: The name that its workers and entries announce.
        controls: Operators' addresses of the control processes.
        command_id: The id that was shown, to retry a command.

    """
    command = ReadmitDataCentre(make_id(command_id), str(data_centre))
    return send_command(get_controls(controls), command)


def repair_replica(name: str, controls: str = '') -> dict[str, Any]:
    """Make a replica set its data folder aside and join with an empty one.

    Args:
        name: The control process whose data folder is lost or damaged.
        controls: Operators' addresses of the control processes.

    """
    answer = request_leader(
        get_controls(controls),
        f'/v1/replicas/{name}/repair',
        b'',
    )
    if answer.get('is_accepted'):
        return answer
    raise CliError(str(answer['code']), str(answer['text']))


def make_id(requested_id: str = '') -> str:
    """Return the given id, or a new unique one."""
    return str(requested_id) or uuid.uuid4().hex
