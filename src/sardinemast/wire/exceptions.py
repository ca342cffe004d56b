"""Exceptions of the codec."""

from sardinemast.exceptions import CodedError


class WireError(CodedError):
    """Signal bytes or values that are not a valid message."""
