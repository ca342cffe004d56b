"""Metrics of processes, and mergeable latency histograms of entries."""

from sardinemast.metrics._exposition import render_metrics
from sardinemast.metrics._latencies import (
    Dimension,
    EncodedLatencies,
    LatencyHistograms,
    LatencySummary,
    merge_latencies,
)
from sardinemast.metrics._process import Gauges, ProcessMetrics

__all__ = (
    'Dimension',
    'EncodedLatencies',
    'Gauges',
    'LatencyHistograms',
    'LatencySummary',
    'ProcessMetrics',
    'merge_latencies',
    'render_metrics',
)
