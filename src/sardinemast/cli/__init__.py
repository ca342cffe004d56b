"""Command line ``sardinemast``."""

from sardinemast.cli._main import main, run

__all__ = ('main', 'run')
