"""Service times as measured, by pool."""

import math
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

_WINDOW_S = 30.0
_LOWEST_MS = 1
_HIGHEST_MS = 3_600_000
_DIGITS = 2
_MS_PER_S = 1000
_MEDIAN = 50
_SLOW = 99
_MIN_SAMPLES = 3
_STEP = 4
_MAX_STEPS = 10
_DESCRIBED_AT = frozenset(
    _MIN_SAMPLES * _STEP**power for power in range(_MAX_STEPS)
)


class ServiceTime(NamedTuple):
    """Hold a pool's mean, median and what nearly no run takes longer than."""

    mean_s: float
    median_s: float
    slow_s: float


class ServiceTimes:
    """Keep what the last window measured.

    A window that ends with too few samples leaves nothing known. A time
    learned while all upstreams were slow could otherwise refuse every
    request for good, and no run would ever show that they have recovered.
    """

    def __init__(self) -> None:
        self._fresh: dict[str, HdrHistogram] = {}
        self._known: dict[str, ServiceTime] = {}
        self._window_until_s: float = 0

    def note(self, pool: str, service_s: float, now_s: float) -> None:
        """Note how long a request ran."""
        self._turn_window(now_s)
        histogram = self._fresh.get(pool)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _DIGITS)
            self._fresh[pool] = histogram
        service_ms = max(_LOWEST_MS, round(service_s * _MS_PER_S))
        histogram.record_value(min(service_ms, _HIGHEST_MS))
        if histogram.total_count in _DESCRIBED_AT:
            self._known[pool] = _describe(histogram)

    def get(self, pool: str, now_s: float) -> ServiceTime | None:
        """Give what is known."""
        self._turn_window(now_s)
        return self._known.get(pool)

    def _turn_window(self, now_s: float) -> None:
        if now_s < self._window_until_s:
            return
        self._window_until_s = now_s + _WINDOW_S
        self._known = {
            pool: _describe(histogram)
            for pool, histogram in self._fresh.items()
            if histogram.total_count >= _MIN_SAMPLES
        }
        self._fresh = {}


def _describe(histogram: HdrHistogram) -> ServiceTime:
    # Nearly all runs must fit, not 99 of 100, and the slowest of a few runs
    # says little of the slowest of a thousand.
    margin = 2 + 1 / math.sqrt(histogram.total_count)
    slow_ms = margin * histogram.get_value_at_percentile(_SLOW)
    return ServiceTime(
        histogram.get_mean_value() / _MS_PER_S,
        histogram.get_value_at_percentile(_MEDIAN) / _MS_PER_S,
        slow_ms / _MS_PER_S,
    )
