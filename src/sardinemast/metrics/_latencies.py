"""Latency histograms by team, service and upstream."""

from collections.abc import Iterable, Iterator, Mapping
from enum import StrEnum
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

OTHER_NAME = 'other'
MAX_NAMES_PER_DIMENSION = 512
_US_PER_S = 1_000_000
_MIN_LATENCY_US = 100
_MAX_LATENCY_S = 600
_MAX_LATENCY_US = _MAX_LATENCY_S * _US_PER_S
_SIGNIFICANT_DIGITS = 2
_MEDIAN = 50
_P99 = 99
_MAX_PERCENTILE = 100

_Key = tuple[str, str]
EncodedLatencies = Mapping[str, Mapping[str, str]]


class Dimension(StrEnum):
    """Name the dimensions by which latencies are recorded."""

    team = 'team'
    service = 'service'
    upstream = 'upstream'


class LatencySummary(NamedTuple):
    """Summarize the merged histogram of one name in a dimension."""

    dimension: str
    name: str
    requests: int
    median_s: float
    p99_s: float
    worst_s: float


class LatencyHistograms:
    """Record the latencies of an entry since its start.

    In each dimension, names beyond ``MAX_NAMES_PER_DIMENSION`` share one
    histogram, which bounds the memory that a large configuration takes.
    """

    def __init__(self) -> None:
        self._histograms: dict[Dimension, dict[str, HdrHistogram]] = {
            dimension: {} for dimension in Dimension
        }

    def record(
        self,
        names: Mapping[Dimension, str],
        elapsed_s: float,
    ) -> None:
        """Record the latency of a request, by its name in each dimension."""
        for dimension, name in names.items():
            record_latency(self._get_histogram(dimension, name), elapsed_s)

    def get_histograms(self, dimension: Dimension) -> dict[str, HdrHistogram]:
        """Return the histograms of a dimension by name."""
        return dict(self._histograms[dimension])

    def encode(self) -> dict[str, dict[str, str]]:
        """Return all histograms in the text encoding of HdrHistogram."""
        return {
            str(dimension): {
                name: histogram.encode().decode()
                for name, histogram in by_name.items()
            }
            for dimension, by_name in self._histograms.items()
        }

    def _get_histogram(self, dimension: Dimension, name: str) -> HdrHistogram:
        by_name = self._histograms[dimension]
        existing = by_name.get(name)
        if existing is not None:
            return existing
        if len(by_name) >= MAX_NAMES_PER_DIMENSION:
            name = OTHER_NAME
        # Creating a histogram is costly, so existing ones are reused.
        if name not in by_name:
            by_name[name] = create_histogram()
        return by_name[name]


def merge_latencies(
    entries_latencies: Iterable[EncodedLatencies],
) -> list[LatencySummary]:
    """Merge the histograms of several entries and summarize each.

    Percentiles are computed from the merged counts: an average of percentiles
    would hide a slow entry.
    """
    merged: dict[_Key, HdrHistogram] = {}
    for histogram_key, encoded in _iterate_encoded(entries_latencies):
        if histogram_key not in merged:
            merged[histogram_key] = create_histogram()
        merged[histogram_key].decode_and_add(encoded)
    return [_summarize(key, merged[key]) for key in sorted(merged)]


def _iterate_encoded(
    entries_latencies: Iterable[EncodedLatencies],
) -> Iterator[tuple[_Key, str]]:
    for histograms_by_dimension in entries_latencies:
        for dimension, by_name in histograms_by_dimension.items():
            for name, encoded in by_name.items():
                yield (dimension, name), encoded


def record_latency(histogram: HdrHistogram, elapsed_s: float) -> None:
    """Record a latency, clamped to the range of the histogram."""
    elapsed_us = int(elapsed_s * _US_PER_S)
    histogram.record_value(
        min(max(elapsed_us, _MIN_LATENCY_US), _MAX_LATENCY_US)
    )


def create_histogram() -> HdrHistogram:
    """Create an empty latency histogram."""
    return HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


def _summarize(
    key: _Key,
    histogram: HdrHistogram,
) -> LatencySummary:
    return LatencySummary(
        *key,
        histogram.get_total_count(),
        histogram.get_value_at_percentile(_MEDIAN) / _US_PER_S,
        histogram.get_value_at_percentile(_P99) / _US_PER_S,
        histogram.get_value_at_percentile(_MAX_PERCENTILE) / _US_PER_S,
    )
