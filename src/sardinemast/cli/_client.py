"""Operators' HTTP from the side of the command line."""

import json
from collections.abc import Sequence
from typing import Any

from tornado.httpclient import (
    HTTPClient,
    HTTPError,
    HTTPRequest,
    HTTPResponse,
)

from sardinemast.cli.exceptions import CliError
from sardinemast.fleet import COMMANDS, Command

_TIMEOUT_S = 15.0
_NOT_LEADER = 'control.E001'


def send_command(controls: Sequence[str], command: Command) -> dict[str, Any]:
    """Send a command to whichever process leads, and give the answer."""
    body = COMMANDS.encode(command)
    return ask_leader(controls, '/v1/commands', body)


def ask_leader(
    controls: Sequence[str],
    path: str,
    body: bytes | None = None,
) -> dict[str, Any]:
    """Ask each control process in turn until the leader answers."""
    problems = []
    for address in controls:
        try:
            answer = fetch(f'http://{address}{path}', body)
        except OSError as error:
            problems.append(f'{address}: {error}')
            continue
        if answer.get('code') != _NOT_LEADER:
            return answer
        problems.append(f'{address} does not lead')
    raise CliError(
        'cli.E001',
        f'No control process leads ({"; ".join(problems)}).',
        'Try again in a second; the same command id is safe to repeat.',
    )


def fetch(url: str, body: bytes | None = None) -> dict[str, Any]:
    """Send one request, and give the JSON map of the answer."""
    client = HTTPClient()
    try:
        response: HTTPResponse = client.fetch(
            HTTPRequest(
                url,
                method='GET' if body is None else 'POST',
                body=body,
                request_timeout=_TIMEOUT_S,
            ),
            raise_error=False,
        )
    except HTTPError as error:
        # A process that is frozen takes the connection and never answers.
        # Without this, the next one would not be asked.
        raise OSError(str(error)) from error
    finally:
        client.close()
    if response.error is not None and response.code == _NO_ANSWER:
        raise OSError(str(response.error))
    answer: dict[str, Any] = json.loads(response.body)
    return answer


_NO_ANSWER = 599
