"""Rate at which work arrives that is ordered before late jobs."""

import math

# Time constant of the mean rate; about a quarter of a peak.
_MEAN_S = 1.0
_MS = 1000


class _Arrivals:
    """Hold a pool's arrivals since it became short of capacity."""

    def __init__(self, now_s: float) -> None:
        self.since_s = now_s
        self.updated_s = now_s
        self.recent_work: float = 0
        self.millicores: float = 0

    def update(self, now_s: float) -> None:
        """Add the work since the last update to the mean rate."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s <= 0:
            return
        recent = self.recent_work / (elapsed_s * _MS)
        weight = 1 - math.exp(-elapsed_s / _MEAN_S)
        self.millicores += weight * (recent - self.millicores)
        self.updated_s = now_s
        self.recent_work = 0


class ArrivalRates:
    """Measure the accepted work of each pool while it lacks capacity."""

    def __init__(self) -> None:
        self._pools: dict[str, _Arrivals] = {}

    def clear(self) -> None:
        """Discard all rates."""
        self._pools.clear()

    def update(self, short_pools: set[str], now_s: float) -> None:
        """Update the rates, at the pools that are short of capacity now."""
        for ended in self._pools.keys() - short_pools:
            self._pools.pop(ended)
        for pool in short_pools:
            self._pools.setdefault(pool, _Arrivals(now_s)).update(now_s)

    def record(self, pool: str, millicore_ms: float) -> None:
        """Add the work of an accepted job that can be on time."""
        arrivals = self._pools.get(pool)
        if arrivals is not None:
            arrivals.recent_work += millicore_ms

    def get_expected_work(
        self, pool: str, within_ms: float, now_s: float
    ) -> float:
        """Return the work that arrives within a time from now.

        A shortage is expected to last as long again as it has lasted.
        """
        arrivals = self._pools.get(pool)
        if arrivals is None:
            return 0
        lasting_ms = (now_s - arrivals.since_s) * _MS
        return arrivals.millicores * min(within_ms, lasting_ms)
