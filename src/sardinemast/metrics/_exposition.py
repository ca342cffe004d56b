"""Metrics of an entry in the Prometheus text format."""

from collections.abc import Iterator, Mapping

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.registry import Collector

from sardinemast.metrics._latencies import Dimension, LatencyHistograms

_US_PER_S = 1_000_000
_BUCKET_BOUNDS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100)

Family = CounterMetricFamily | GaugeMetricFamily | HistogramMetricFamily


class _EntryCollector(Collector):
    def __init__(
        self,
        histograms: LatencyHistograms,
        counts: Mapping[str, int],
        gauges: Mapping[str, float],
    ) -> None:
        self._histograms = histograms
        self._counts = counts
        self._gauges = gauges

    def collect(self) -> Iterator[Family]:
        """Yield all metric families."""
        for name, gauge in self._gauges.items():
            yield GaugeMetricFamily(
                f'sardinemast_{name}',
                f'Current {name}.',
                value=gauge,
            )
        counter = CounterMetricFamily(
            'sardinemast_answers',
            'Final answers by code; "answered" is an answer of an upstream.',
            labels=['code'],
        )
        for code, count in self._counts.items():
            counter.add_metric([code], count)
        yield counter
        for dimension in Dimension:
            yield self._collect_latencies(dimension)

    def _collect_latencies(
        self,
        dimension: Dimension,
    ) -> HistogramMetricFamily:
        family = HistogramMetricFamily(
            f'sardinemast_{dimension}_latency_seconds',
            f'Time from arrival to answer by {dimension}.',
            labels=[str(dimension)],
        )
        for name, histogram in self._histograms.get_histograms(
            dimension
        ).items():
            fill_histogram(family, name, histogram)
        return family


def render_metrics(
    histograms: LatencyHistograms,
    counts: Mapping[str, int],
    gauges: Mapping[str, float],
) -> bytes:
    """Return the metrics of an entry in the Prometheus text format.

    ``counts`` holds the final answers by code, ``gauges`` the current values
    by metric name.
    """
    registry = CollectorRegistry()
    registry.register(_EntryCollector(histograms, counts, gauges))
    return generate_latest(registry)


def fill_histogram(
    family: HistogramMetricFamily,
    label: str,
    histogram: HdrHistogram,
) -> None:
    """Add a latency histogram to a metric family, with its label."""
    family.add_metric(
        [label],
        _get_buckets(histogram),
        sum_value=_get_sum_s(histogram),
    )


def _get_buckets(histogram: HdrHistogram) -> list[tuple[str, float]]:
    total = histogram.get_total_count()
    bounded = [
        (str(bound_s), _count_up_to(histogram, bound_s))
        for bound_s in _BUCKET_BOUNDS_S
    ]
    return [*bounded, ('+Inf', total)]


def _count_up_to(histogram: HdrHistogram, bound_s: float) -> float:
    return sum(
        int(item.count_at_value_iterated_to)
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_to <= bound_s * _US_PER_S
    )


def _get_sum_s(histogram: HdrHistogram) -> float:
    mean_us = float(histogram.get_mean_value())
    return mean_us * int(histogram.get_total_count()) / _US_PER_S
