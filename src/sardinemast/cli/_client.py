"""Client of the operators' HTTP API."""

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
_NO_RESPONSE_CODE = 599
_COMMANDS_PATH = '/v1/commands'
_NOT_LEADER = 'control.E001'


def send_command(controls: Sequence[str], command: Command) -> dict[str, Any]:
    """Send a command to the leader and return its answer.

    Raises ``CliError`` with the code of the refusal if nothing was changed,
    and ``UnreachableError`` if the outcome is unknown.
    """
    command_id = getattr(command, 'command_id', '')
    try:
        answer = request_leader(
            controls, _COMMANDS_PATH, COMMANDS.encode(command)
        )
    except UnreachableError as error:
        # A retry with the same id is idempotent; with a new id, the command
        # could be executed twice.
        hint = f'To retry it, add --command_id={command_id}.'
        raise UnreachableError(error.code, error.text, hint) from error
    if answer.get('is_accepted'):
        return {'command_id': command_id, **answer}
    if 'code' not in answer:
        raise CliError('cli.E002', 'The command was refused without a code.')
    raise CliError(str(answer['code']), str(answer.get('text', '')))


def request_leader(
    controls: Sequence[str],
    path: str,
    body: bytes | None = None,
) -> dict[str, Any]:
    """Send a request to each control process until the leader answers."""
    problems = []
    for address in controls:
        try:
            answer = fetch(f'{get_scheme()}://{address}{path}', body)
        except OSError as error:
            problems.append(f'{address}: {error}')
            continue
        if answer.get('code') != _NOT_LEADER:
            return answer
        problems.append(f'{address}: not the leader')
    raise UnreachableError(
        'cli.E001',
        f'No leader was reached ({"; ".join(problems)}).',
        'Retry in a second.',
    )


def fetch_either_scheme(address: str, path: str) -> dict[str, Any]:
    """Send a request to an entry or a control process, by HTTP or HTTPS.

    Entries serve plain HTTP even if control processes require certificates.
    Plain HTTP is tried first, because a control process rejects it at once,
    while an entry would wait for a TLS handshake to complete.
    """
    try:
        return fetch(f'http://{address}{path}')
    except OSError:
        if get_scheme() == 'http':
            raise
        return fetch(f'https://{address}{path}')


def fetch(url: str, body: bytes | None = None) -> dict[str, Any]:
    """Send one request and return the JSON object of the response.

    Raises ``OSError`` if there was no response, and ``UnreachableError`` if
    the server does not know the outcome.
    """
    response = _send_request(url, body)
    if response.code == _NO_RESPONSE_CODE:
        raise OSError(str(response.error))
    try:
        answer = json.loads(response.body)
    except ValueError:
        raise CliError(
            'cli.E005',
            f'The {response.code} response of {url} is not JSON.',
            'Check that the address belongs to a sardinemast process.',
        ) from None
    if response.code == HTTPStatus.GATEWAY_TIMEOUT:
        raise UnreachableError(str(answer['code']), str(answer['text']))
    return dict(answer)


def get_scheme() -> str:
    """Return the URL scheme of operators' addresses."""
    return 'https' if os.environ.get(CREDENTIALS_VARIABLE) else 'http'


def _create_context() -> ssl.SSLContext | None:
    folder = os.environ.get(CREDENTIALS_VARIABLE)
    if not folder:
        return None
    folder_path = Path(folder)
    try:
        return create_client_context(
            Security(
                folder_path / 'authority.pem',
                folder_path / 'certificate.pem',
                folder_path / 'private-key.pem',
            ),
        )
    except OSError as error:
        raise UsageError(
            'cli.E009',
            f'Cannot load credentials from {folder}: {error}.',
            f'{CREDENTIALS_VARIABLE} must name a folder with authority.pem, '
            'certificate.pem and private-key.pem.',
        ) from error


def _send_request(url: str, body: bytes | None) -> HTTPResponse:
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
        # A frozen process accepts connections but never answers. As an
        # OSError, the timeout lets the caller try the next process.
        raise OSError(str(error)) from error
    finally:
        client.close()
