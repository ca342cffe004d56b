"""Latencies as histograms that can be merged over entries."""

from sardinemast.metrics._exposition import render_metrics
from sardinemast.metrics._latencies import (
    Dimension,
    EncodedLatencies,
    LatencyBook,
    LatencySummary,
    merge_latencies,
)

__all__ = (
    'Dimension',
    'EncodedLatencies',
    'LatencyBook',
    'LatencySummary',
    'merge_latencies',
    'render_metrics',
)
