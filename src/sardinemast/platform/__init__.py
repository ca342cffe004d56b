"""Adapt the platform's HTTP protocol to the records of sardinemast."""
