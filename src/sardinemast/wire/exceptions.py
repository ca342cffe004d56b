"""Errors of the codec."""

from sardinemast.exceptions import CodedError


class WireError(CodedError):
    """Report bytes or values that are not a message of ours."""
