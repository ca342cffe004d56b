"""Latencies as histograms that can be merged over entries."""

from sardinemast.metrics._exposition import render_metrics
from sardinemast.metrics._latencies import (
    Dimension,
    EncodedLatencies,
    LatencyBook,
    LatencySummary,
    merge_latencies,
)
from sardinemast.metrics._process import Gauges, ProcessMetrics

__all__ = (
    'Dimension',
    'EncodedLatencies',
    'Gauges',
    'LatencyBook',
    'LatencySummary',
    'ProcessMetrics',
    'merge_latencies',
    'render_metrics',
)
