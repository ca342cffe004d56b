"""Errors that end a role."""

from sardinemast.exceptions import CodedError


class ShellError(CodedError):
    """Report a core that cannot go on."""


class FolderDiscardedError(Exception):
    """Start the role again with an empty folder."""
