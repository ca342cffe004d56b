"""Randomized fault injection on real processes, with guarantees checked."""
