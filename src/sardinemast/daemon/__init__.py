"""The daemon ``sardinemastd``."""

from sardinemast.daemon._main import main

__all__ = ('main',)
