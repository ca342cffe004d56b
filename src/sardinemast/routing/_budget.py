"""Retries as a share of recent successes."""

_SHARE = 0.1
_MOST = 10.0


class RetryBudget:
    """Allow a retry where enough answers have come.

    When everything fails at once, each request would otherwise be sent
    several times, and the load that made it fail would grow with the failure.
    """

    def __init__(self) -> None:
        self._tokens = _MOST

    def note_success(self) -> None:
        """Earn a part of a retry."""
        self._tokens = min(_MOST, self._tokens + _SHARE)

    def take(self) -> bool:
        """Spend one retry, or tell that none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
