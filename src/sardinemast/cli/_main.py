"""Entry point of the command line."""

import sys
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import fire

from sardinemast.checks import CheckError
from sardinemast.cli import commands, queries
from sardinemast.cli._output import Formatter, get_formatter
from sardinemast.cli.exceptions import CliError, ExitCode
from sardinemast.exceptions import CodedError

_OUTPUT = '--output'
_DEFAULT_OUTPUT = 'table'
_CALLS: Mapping[str, Callable[..., Any]] = MappingProxyType(
    {
        'apply': commands.apply,
        'grant-key': commands.grant_key,
        'withdraw-key': commands.withdraw_key,
        'assign-instance': commands.assign_instance,
        'repair-replica': commands.repair_replica,
        'restore': commands.restore,
        'forget-instance': commands.forget_instance,
        'show': queries.show,
        'history': queries.history,
        'diff': queries.diff,
        'latencies': queries.latencies,
        'replicas': queries.replicas,
        'check': queries.check,
        'check-process': queries.check_process,
        'health': queries.health,
        'timeline': queries.timeline,
    },
)


def main() -> None:
    """Read the command line, run one call, and set the exit code."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one call and give the exit code; problems are one line each."""
    try:
        words, output = split_output(arguments)
        _fire(words, get_formatter(output))
    except CodedError as error:
        return _report(str(error), _get_exit_code(error))
    except OSError as error:
        hint = 'Check the address and try again.'
        problem = CliError('cli.E008', f'{error}.', hint)
        return _report(str(problem), ExitCode.unknown)
    except fire.core.FireExit as leaving:
        return int(leaving.code or 0)
    return ExitCode.done


def split_output(arguments: list[str]) -> tuple[list[str], str]:
    """Take ``--output NAME`` out of the words, wherever it stands."""
    words: list[str] = []
    output = _DEFAULT_OUTPUT
    rest = iter(arguments)
    for word in rest:
        name, sign, given = word.partition('=')
        if name == _OUTPUT:
            output = given if sign else next(rest, '')
        else:
            words.append(word)
    return words, output


def _fire(words: list[str], formatter: Formatter) -> None:
    fire.Fire(
        dict(_CALLS),
        command=words,
        name='sardinemast',
        serialize=lambda answer: _serialize(answer, formatter),
    )


def _serialize(answer: Any, formatter: Formatter) -> Any:
    # Without a call, fire hands over the calls themselves and shows help.
    if isinstance(answer, dict) and answer.keys() == _CALLS.keys():
        return answer
    return answer if isinstance(answer, str) else formatter(answer)


def _get_exit_code(error: CodedError) -> int:
    if isinstance(error, CheckError):
        return ExitCode.findings
    if isinstance(error, CliError):
        return error.exit_code
    return ExitCode.refused


def _report(line: str, exit_code: int) -> int:
    sys.stderr.write(f'{line}\n')
    return exit_code
