"""Operators' HTTP from the side of the command line."""

import json
import os
import ssl
from collections.abc import Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Any

from tornado.httpclient import (
    HTTPClient,
    HTTPError,
    HTTPRequest,
    HTTPResponse,
)

from sardinemast.cli.exceptions import CliError, UnreachableError, UsageError
from sardinemast.conf import Security
from sardinemast.fleet import COMMANDS, Command
from sardinemast.shell import create_client_context

_TIMEOUT_S = 15.0
CREDENTIALS_VARIABLE = 'SARDINEMAST_CREDENTIALS'
_NO_ANSWER = 599
_COMMANDS_PATH = '/v1/commands'
_NOT_LEADER = 'control.E001'


def send_command(controls: Sequence[str], command: Command) -> dict[str, Any]:
    """Send a command to whichever process leads, and give the answer.

    Raises ``CliError`` with the refusal's code where nothing was changed,
    and ``UnreachableError`` where the outcome is not known.
    """
    command_id = getattr(command, 'command_id', '')
    try:
        answer = ask_leader(controls, _COMMANDS_PATH, COMMANDS.encode(command))
    except UnreachableError as error:
        # Without the id the operator could only send a second command, which
        # may do the same thing twice.
        hint = f'To send it again, add --command_id={command_id}.'
        raise UnreachableError(error.code, error.text, hint) from error
    if answer.get('is_accepted'):
        return {'command_id': command_id, **answer}
    if 'code' not in answer:
        raise CliError('cli.E002', 'The command was refused without a code.')
    raise CliError(str(answer['code']), str(answer.get('text', '')))


def ask_leader(
    controls: Sequence[str],
    path: str,
    body: bytes | None = None,
) -> dict[str, Any]:
    """Ask each control process in turn until the leader answers."""
    problems = []
    for address in controls:
        try:
            answer = fetch(f'{get_scheme()}://{address}{path}', body)
        except OSError as error:
            problems.append(f'{address}: {error}')
            continue
        if answer.get('code') != _NOT_LEADER:
            return answer
        problems.append(f'{address} does not lead')
    raise UnreachableError(
        'cli.E001',
        f'No control process leads ({"; ".join(problems)}).',
        'Try again in a second.',
    )


def fetch_any_scheme(address: str, path: str) -> dict[str, Any]:
    """Ask a control process, or an entry at its callers' address.

    Callers' addresses take plain HTTP behind the balancer also where control
    processes want certificates. Plain HTTP is tried first: a control process
    breaks it off at once, while an entry would wait for a handshake to end.
    """
    try:
        return fetch(f'http://{address}{path}')
    except OSError:
        if get_scheme() == 'http':
            raise
        return fetch(f'https://{address}{path}')


def fetch(url: str, body: bytes | None = None) -> dict[str, Any]:
    """Send one request, and give the JSON map of the answer.

    Raises ``OSError`` where there was no answer, and ``UnreachableError``
    where the other side does not know the outcome.
    """
    response = _fetch_raw(url, body)
    if response.code == _NO_ANSWER:
        raise OSError(str(response.error))
    try:
        answer = json.loads(response.body)
    except ValueError:
        raise CliError(
            'cli.E005',
            f'{url} answered {response.code} and no JSON.',
            'Check that the address is one of sardinemast.',
        ) from None
    if response.code == HTTPStatus.GATEWAY_TIMEOUT:
        raise UnreachableError(str(answer['code']), str(answer['text']))
    return dict(answer)


def get_scheme() -> str:
    """Give the scheme of operators' addresses."""
    return 'https' if os.environ.get(CREDENTIALS_VARIABLE) else 'http'


def _create_context() -> ssl.SSLContext | None:
    folder = os.environ.get(CREDENTIALS_VARIABLE)
    if not folder:
        return None
    place = Path(folder)
    try:
        return create_client_context(
            Security(
                place / 'authority.pem',
                place / 'certificate.pem',
                place / 'private-key.pem',
            ),
        )
    except OSError as error:
        raise UsageError(
            'cli.E009',
            f'No credentials in {folder}: {error}.',
            f'{CREDENTIALS_VARIABLE} names a folder with authority.pem, '
            'certificate.pem and private-key.pem.',
        ) from error


def _fetch_raw(url: str, body: bytes | None) -> HTTPResponse:
    client = HTTPClient()
    request = HTTPRequest(
        url,
        method='GET' if body is None else 'POST',
        body=body,
        request_timeout=_TIMEOUT_S,
        ssl_options=_create_context(),
    )
    try:
        return client.fetch(request, raise_error=False)
    except HTTPError as error:
        # A process that is frozen takes the connection and never answers.
        # Without this, the next one would not be asked.
        raise OSError(str(error)) from error
    finally:
        client.close()
