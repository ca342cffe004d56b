"""Benchmarks: figures and ratios, and no verdicts."""
