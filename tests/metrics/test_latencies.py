"""Recording, merging and rendering of latency histograms."""

import pytest

from sardinemast.metrics import (
    Dimension,
    LatencyHistograms,
    merge_latencies,
    render_metrics,
)
from sardinemast.metrics._latencies import MAX_NAMES_PER_DIMENSION


def _fill(elapsed_s: float, count: int) -> LatencyHistograms:
    histograms = LatencyHistograms()
    for _ in range(count):
        histograms.record({Dimension.team: 'petits-pixels'}, elapsed_s)
    return histograms


def test_percentiles_are_computed_from_merged_counts() -> None:
    """Guard against averaged percentiles.

    A slow entry serves a tenth of the requests; an average of the two p99
    would halve the latency of its callers.
    """
    entries_latencies = [_fill(0.01, 900).encode(), _fill(2.0, 100).encode()]
    summary = merge_latencies(entries_latencies)[0]
    assert summary.requests == 1000
    assert summary.median_s == pytest.approx(0.01, rel=0.01)
    assert summary.p99_s == pytest.approx(2, rel=0.01)


def test_histograms_are_bounded() -> None:
    """Guard against unbounded memory: further names share a histogram."""
    histograms = LatencyHistograms()
    for number in range(MAX_NAMES_PER_DIMENSION + 5):
        histograms.record({Dimension.upstream: f'enrol-{number}'}, 0.1)
    by_name = histograms.get_histograms(Dimension.upstream)
    assert len(by_name) == MAX_NAMES_PER_DIMENSION + 1
    assert by_name['other'].get_total_count() == 5


def test_text_format_has_buckets_counters_and_gauges() -> None:
    """Render cumulative buckets, counters and gauges."""
    shown = render_metrics(
        _fill(0.02, 3),
        {'answered': 3},
        {'requests_running': 1},
    ).decode()
    line = 'sardinemast_team_latency_seconds_bucket'
    assert f'{line}{{le="0.01",team="petits-pixels"}} 0.0' in shown
    assert f'{line}{{le="0.03",team="petits-pixels"}} 3.0' in shown
    assert 'sardinemast_answers_total{code="answered"} 3.0' in shown
