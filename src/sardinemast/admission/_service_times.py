"""Measured service times by pool."""

import math
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

_WINDOW_S = 30.0
_LOWEST_MS = 1
_HIGHEST_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_MS_PER_S = 1000
_MEDIAN_PERCENTILE = 50
_SLOW_PERCENTILE = 99
_MIN_SAMPLES = 3
_UPDATE_GROWTH = 4
_MAX_UPDATES = 10
_UPDATE_AT_COUNTS = frozenset(
    _MIN_SAMPLES * _UPDATE_GROWTH**power for power in range(_MAX_UPDATES)
)


class ServiceTime(NamedTuple):
    """Hold a pool's mean, median and an upper bound for nearly all runs."""

    mean_s: float
    median_s: float
    upper_bound_s: float


class ServiceTimes:
    """Summarize service times over the last window.

    A window with too few samples discards the summary. Otherwise times from a
    slow phase could refuse every request, and no run would ever show that the
    upstreams have recovered.
    """

    def __init__(self) -> None:
        self._current: dict[str, HdrHistogram] = {}
        self._summaries: dict[str, ServiceTime] = {}
        self._window_ends_s: float = 0

    def record(self, pool: str, service_s: float, now_s: float) -> None:
        """Record the service time of a request."""
        self._rotate_window(now_s)
        histogram = self._current.get(pool)
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_DIGITS
            )
            self._current[pool] = histogram
        service_ms = max(_LOWEST_MS, round(service_s * _MS_PER_S))
        histogram.record_value(min(service_ms, _HIGHEST_MS))
        if histogram.total_count in _UPDATE_AT_COUNTS:
            self._summaries[pool] = _summarize(histogram)

    def get(self, pool: str, now_s: float) -> ServiceTime | None:
        """Return the summary of a pool, or None if there is none."""
        self._rotate_window(now_s)
        return self._summaries.get(pool)

    def _rotate_window(self, now_s: float) -> None:
        if now_s < self._window_ends_s:
            return
        self._window_ends_s = now_s + _WINDOW_S
        self._summaries = {
            pool: _summarize(histogram)
            for pool, histogram in self._current.items()
            if histogram.total_count >= _MIN_SAMPLES
        }
        self._current = {}


def _summarize(histogram: HdrHistogram) -> ServiceTime:
    # The bound must hold for more than 99 % of runs, with a larger margin for
    # few samples.
    margin = 2 + 1 / math.sqrt(histogram.total_count)
    upper_bound_ms = margin * histogram.get_value_at_percentile(
        _SLOW_PERCENTILE
    )
    return ServiceTime(
        histogram.get_mean_value() / _MS_PER_S,
        histogram.get_value_at_percentile(_MEDIAN_PERCENTILE) / _MS_PER_S,
        upper_bound_ms / _MS_PER_S,
    )
