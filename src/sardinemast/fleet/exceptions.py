"""Exceptions of the fleet's state."""

from sardinemast.exceptions import CodedError


class FleetError(CodedError):
    """Refuse a command that does not fit the state."""
