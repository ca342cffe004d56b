"""Errors of the command line."""

from sardinemast.exceptions import CodedError


class CliError(CodedError):
    """Report what an operator asked for and did not get."""
