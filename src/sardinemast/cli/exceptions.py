"""Exceptions and exit codes of the command line."""

from enum import IntEnum

from sardinemast.exceptions import CodedError


class ExitCode(IntEnum):
    """Report the outcome of a call to scripts."""

    done = 0
    refused = 1
    usage = 2
    unknown = 3
    findings = 4
    fault = 70


class CliError(CodedError):
    """Report a call that failed or was refused."""

    exit_code = ExitCode.refused


class UnreachableError(CliError):
    """Report that no answer arrived, so that the outcome is unknown."""

    exit_code = ExitCode.unknown


class UsageError(CliError):
    """Report an invalid argument."""

    exit_code = ExitCode.usage
