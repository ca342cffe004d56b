"""Errors that end a role."""

from sardinemast.exceptions import CodedError


class CoreFailedError(CodedError):
    """Report a core that cannot go on."""


class FolderReplacedError(Exception):
    """Start the role again with an empty folder."""
