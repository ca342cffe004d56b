"""Latencies merged over entries."""

import pytest

from sardinemast.metrics import (
    Dimension,
    LatencyHistograms,
    merge_latencies,
    render_metrics,
)
from sardinemast.metrics._latencies import MAX_NAMES


def _fill(elapsed_s: float, count: int) -> LatencyHistograms:
    book = LatencyHistograms()
    for _ in range(count):
        book.record({Dimension.team: 'petits-pixels'}, elapsed_s)
    return book


def test_percentiles_are_of_the_sum() -> None:
    """Merge counts of two entries and not their percentiles.

    One entry is slow and serves a tenth of the requests. An average of the
    two p99 would show half of what one caller in ten really waits.
    """
    books = [_fill(0.01, 900).encode(), _fill(2.0, 100).encode()]
    summary = merge_latencies(books)[0]
    assert summary.requests == 1000
    assert summary.median_s == pytest.approx(0.01, rel=0.01)
    assert summary.p99_s == pytest.approx(2, rel=0.01)


def test_names_are_bounded() -> None:
    """Names past the bound are counted together."""
    book = LatencyHistograms()
    for number in range(MAX_NAMES + 5):
        book.record({Dimension.upstream: f'enrol-{number}'}, 0.1)
    by_name = book.get_histograms(Dimension.upstream)
    assert len(by_name) == MAX_NAMES + 1
    assert by_name['other'].get_total_count() == 5


def test_text_format_holds_all_buckets() -> None:
    """The text shows counts up to each bound, counters and gauges."""
    shown = render_metrics(
        _fill(0.02, 3),
        {'answered': 3},
        {'requests_running': 1},
    ).decode()
    line = 'sardinemast_team_latency_seconds_bucket'
    assert f'{line}{{le="0.01",team="petits-pixels"}} 0.0' in shown
    assert f'{line}{{le="0.03",team="petits-pixels"}} 3.0' in shown
    assert 'sardinemast_answers_total{code="answered"} 3.0' in shown
