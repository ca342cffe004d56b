"""Addresses of the processes that the command line connects to."""

import os
from typing import Any

from sardinemast.cli.exceptions import UsageError

CONTROLS_VARIABLE = 'SARDINEMAST_CONTROLS'
_DEFAULT_CONTROLS = '127.0.0.1:8101'


def get_controls(controls: Any = '') -> list[str]:
    """Return the addresses of the control processes.

    They come from the argument, else from the environment variable
    ``SARDINEMAST_CONTROLS``, else from the default.
    """
    return split_addresses(
        controls or os.environ.get(CONTROLS_VARIABLE, '') or _DEFAULT_CONTROLS,
    )


def split_addresses(addresses: Any) -> list[str]:
    """Return the comma-separated addresses, or raise ``cli.E003``."""
    parts = addresses
    if isinstance(addresses, str):
        parts = addresses.split(',')
    parsed_addresses = [str(part).strip() for part in parts]
    for address in parsed_addresses:
        host, _, port = address.rpartition(':')
        if not host or not port.isdecimal():
            raise UsageError(
                'cli.E003',
                f'{address!r} is not a valid address.',
                'Use HOST:PORT, separated by commas.',
            )
    return parsed_addresses
