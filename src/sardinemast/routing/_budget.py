"""Limit of retries to a share of recent successes."""

_TOKENS_PER_SUCCESS = 0.1
_MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket of retries that successful answers refill.

    It keeps retries from multiplying the load when most requests fail.
    """

    def __init__(self) -> None:
        self._tokens = _MAX_TOKENS

    def record_success(self) -> None:
        """Add a fraction of a token."""
        self._tokens = min(_MAX_TOKENS, self._tokens + _TOKENS_PER_SUCCESS)

    def take(self) -> bool:
        """Take a token for a retry; return False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
