"""Tools of maintainers."""
