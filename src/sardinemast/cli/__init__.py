"""The command line ``sardinemast``."""

from sardinemast.cli._main import main

__all__ = ('main',)
