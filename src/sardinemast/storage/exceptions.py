"""Define the errors of the data folder."""

from sardinemast.exceptions import CodedError


class StorageError(CodedError):
    """Report that stored files are damaged, copied or cannot be written."""
