"""Benchmarks; they print figures and ratios and check no limits."""
