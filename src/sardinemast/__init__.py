"""Coordinate fleet capacity and maintenance over many nodes."""
