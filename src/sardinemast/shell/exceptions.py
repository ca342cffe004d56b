"""Errors that end the run of a process."""

from sardinemast.exceptions import CodedError


class CoreFailedError(CodedError):
    """Report an unexpected exception in a core or in its outputs."""


class FolderReplacedError(Exception):
    """Signal that the data folder was set aside and a restart is due."""
