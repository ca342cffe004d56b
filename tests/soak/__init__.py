"""Faults from outside on real processes, and the promises checked meanwhile."""
