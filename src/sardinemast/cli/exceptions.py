"""Errors and exit codes of the command line."""

from enum import IntEnum

from sardinemast.exceptions import CodedError


class ExitCode(IntEnum):
    """Tell scripts how a run ended."""

    done = 0
    refused = 1
    usage = 2
    unknown = 3
    findings = 4
    fault = 70


class CliError(CodedError):
    """Report what an operator asked for and did not get."""

    exit_code = ExitCode.refused


class UnreachableError(CliError):
    """Report that nobody could answer, so that the outcome is not known."""

    exit_code = ExitCode.unknown


class UsageError(CliError):
    """Report an argument that makes no sense."""

    exit_code = ExitCode.usage
