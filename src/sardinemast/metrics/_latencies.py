"""Latency histograms by team, service and upstream."""

from collections.abc import Iterable, Iterator, Mapping
from enum import StrEnum
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

OTHER = 'other'
MAX_NAMES = 512
_US_PER_S = 1_000_000
_LOWEST_US = 100
_LONGEST_S = 600
_HIGHEST_US = _LONGEST_S * _US_PER_S
_DIGITS = 2
_MEDIAN = 50
_P99 = 99
_WORST = 100

_Key = tuple[str, str]
EncodedLatencies = Mapping[str, Mapping[str, str]]


class Dimension(StrEnum):
    """Say by what latencies are told apart."""

    team = 'team'
    service = 'service'
    upstream = 'upstream'


class LatencySummary(NamedTuple):
    """Give the figures of one merged histogram."""

    dimension: str
    name: str
    requests: int
    median_s: float
    p99_s: float
    worst_s: float


class LatencyHistograms:
    """Count latencies of one entry since its start.

    At most ``MAX_NAMES`` names are told apart for each dimension and the
    rest are counted together. A caller cannot invent names, but an operator's
    long list must not push an entry over its memory.
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
        """Count one answered request under its names."""
        for dimension, name in names.items():
            record_s(self._get_histogram(dimension, name), elapsed_s)

    def get_histograms(self, dimension: Dimension) -> dict[str, HdrHistogram]:
        """Give the histograms of a dimension by name."""
        return dict(self._histograms[dimension])

    def encode(self) -> dict[str, dict[str, str]]:
        """Give all histograms in the library's own compact text."""
        return {
            str(dimension): {
                name: histogram.encode().decode()
                for name, histogram in by_name.items()
            }
            for dimension, by_name in self._histograms.items()
        }

    def _get_histogram(self, dimension: Dimension, name: str) -> HdrHistogram:
        by_name = self._histograms[dimension]
        known = by_name.get(name)
        if known is not None:
            return known
        if len(by_name) >= MAX_NAMES:
            name = OTHER
        # Making a histogram costs more than a request, so that none is made
        # where one is known.
        if name not in by_name:
            by_name[name] = create_histogram()
        return by_name[name]


def merge_latencies(
    books: Iterable[EncodedLatencies],
) -> list[LatencySummary]:
    """Merge the histograms of several entries and summarize each.

    The counts are added and the percentiles taken from the sum; an average
    of percentiles would hide the entry that is slow.
    """
    merged: dict[_Key, HdrHistogram] = {}
    for place, encoded in _iterate(books):
        if place not in merged:
            merged[place] = create_histogram()
        merged[place].decode_and_add(encoded)
    return [_summarize(key, merged[key]) for key in sorted(merged)]


def _iterate(
    books: Iterable[EncodedLatencies],
) -> Iterator[tuple[_Key, str]]:
    for book in books:
        for dimension, by_name in book.items():
            for name, encoded in by_name.items():
                yield (dimension, name), encoded


def record_s(histogram: HdrHistogram, elapsed_s: float) -> None:
    """Count a latency, bounded to what the histogram holds."""
    elapsed_us = int(elapsed_s * _US_PER_S)
    histogram.record_value(min(max(elapsed_us, _LOWEST_US), _HIGHEST_US))


def create_histogram() -> HdrHistogram:
    """Make a histogram of latencies."""
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


def _summarize(
    key: _Key,
    histogram: HdrHistogram,
) -> LatencySummary:
    return LatencySummary(
        *key,
        histogram.get_total_count(),
        histogram.get_value_at_percentile(_MEDIAN) / _US_PER_S,
        histogram.get_value_at_percentile(_P99) / _US_PER_S,
        histogram.get_value_at_percentile(_WORST) / _US_PER_S,
    )
