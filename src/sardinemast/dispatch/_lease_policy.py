"""Settings of the leases that workers grant to their runs."""

from typing import NamedTuple

_MS = 1000


class LeasePolicy(NamedTuple):
    """Configure what workers make of the lease that an order names.

    A worker shortens a lease to ``longest_ms`` on its own clock. An order
    without an answer may be executed until ``late_order_s`` after its sending.
    """

    longest_ms: int = 10_000
    late_order_s: float = 5.0

    def get_longest_s(self, drift: float) -> float:
        """Return how long a lease lasts at most on the slowest clock."""
        return self.longest_ms / _MS / (1 - drift)
