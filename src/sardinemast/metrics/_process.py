"""Metrics that a process serves at its metrics address."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.registry import Collector

from sardinemast.metrics._exposition import Family, fill_histogram
from sardinemast.metrics._latencies import create_histogram, record_latency

# Current values by gauge and label; the label is '' for a single value.
Gauges = Mapping[str, Mapping[str, float]]


def _list_nothing() -> Gauges:
    return {}


class ProcessMetrics:
    """Count decisions and calls, and record the latencies of calls.

    ``list_gauges`` returns the current gauges and is called for each scrape.
    """

    def __init__(self) -> None:
        self.list_gauges: Callable[[], Gauges] = _list_nothing
        self._decisions: Counter[str] = Counter()
        self._calls: Counter[tuple[str, str]] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}

    def record_decision(self, event: str) -> None:
        """Count a logged decision by its event."""
        self._decisions[event] += 1

    def record_call(self, action: str, outcome: str, elapsed_s: float) -> None:
        """Count a call by action and outcome, and record its latency."""
        self._calls[action, outcome] += 1
        if action not in self._latencies:
            self._latencies[action] = create_histogram()
        record_latency(self._latencies[action], elapsed_s)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        registry = CollectorRegistry()
        registry.register(_ProcessCollector(self._collect))
        return generate_latest(registry)

    def _collect(self) -> Iterator[Family]:
        decisions = CounterMetricFamily(
            'sardinemast_decisions',
            'Decisions that were logged, by event.',
            labels=['event'],
        )
        for event, count in self._decisions.items():
            decisions.add_metric([event], count)
        yield decisions
        calls = CounterMetricFamily(
            'sardinemast_calls',
            'Calls answered, by what was asked and how it ended.',
            labels=['action', 'outcome'],
        )
        for labels, count in self._calls.items():
            calls.add_metric(labels, count)
        yield calls
        latencies = HistogramMetricFamily(
            'sardinemast_call_latency_seconds',
            'Time from a call to its answer.',
            labels=['action'],
        )
        for action, histogram in self._latencies.items():
            fill_histogram(latencies, action, histogram)
        yield latencies
        yield from self._collect_gauges()

    def _collect_gauges(self) -> Iterator[Family]:
        for name, values_by_label in self.list_gauges().items():
            gauge = GaugeMetricFamily(
                f'sardinemast_{name}',
                f'Current {name}.',
                labels=['of'],
            )
            for label, current in values_by_label.items():
                gauge.add_metric([label], current)
            yield gauge


class _ProcessCollector(Collector):
    def __init__(self, list_families: Callable[[], Iterator[Family]]) -> None:
        self._list_families = list_families

    def collect(self) -> Iterator[Family]:
        """Yield all metric families."""
        return self._list_families()
