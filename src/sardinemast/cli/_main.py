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
        'evacuate': commands.evacuate,
        'readmit': commands.readmit,
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
    """Parse the command line, run one call and exit with its code."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one call and return its exit code; report errors on stderr."""
    try:
        call_arguments, output = split_output(arguments)
        _fire(call_arguments, get_formatter(output))
    except CodedError as error:
        return _report(str(error), _get_exit_code(error))
    except OSError as error:
        hint = 'Check the address and retry.'
        problem = CliError('cli.E008', f'{error}.', hint)
        return _report(str(problem), ExitCode.unknown)
    except fire.core.FireExit as fire_exit:
        return int(fire_exit.code or 0)
    return ExitCode.done


def split_output(arguments: list[str]) -> tuple[list[str], str]:
    """Return the arguments without ``--output``, and its value."""
    call_arguments: list[str] = []
    output = _DEFAULT_OUTPUT
    remaining = iter(arguments)
    for argument in remaining:
        name, separator, option_value = argument.partition('=')
        if name == _OUTPUT:
            output = option_value if separator else next(remaining, '')
        else:
            call_arguments.append(argument)
    return call_arguments, output


def _fire(call_arguments: list[str], formatter: Formatter) -> None:
    fire.Fire(
        dict(_CALLS),
        command=call_arguments,
        name='sardinemast',
        serialize=lambda answer: _serialize(answer, formatter),
    )


def _serialize(answer: Any, formatter: Formatter) -> Any:
    # Without a call, fire serializes the map of calls to show the help.
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
