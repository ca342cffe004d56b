"""Errors of the data folder."""

from sardinemast.exceptions import CodedError


class StorageError(CodedError):
    """Report files that cannot be trusted or written."""
