"""Entry point of the command line."""

import json
import sys
from typing import Any

import fire

from sardinemast.cli import commands, queries
from sardinemast.exceptions import CodedError

_EXIT_FAILED = 1


def main() -> None:
    """Read the command line, run one command, and set the exit code."""
    try:
        fire.Fire(
            {
                'apply': commands.apply,
                'grant-key': commands.grant_key,
                'withdraw-key': commands.withdraw_key,
                'repair-replica': commands.repair_replica,
                'replicas': queries.replicas,
                'show': queries.show,
                'timeline': queries.timeline,
            },
            name='sardinemast',
            serialize=_serialize,
        )
    except CodedError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(_EXIT_FAILED)


def _serialize(answer: Any) -> str:
    if isinstance(answer, str):
        return answer
    return json.dumps(answer, indent=2)
