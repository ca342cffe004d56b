"""The daemon ``sardinemastd``."""

from sardinemast.daemon._logs import create_log_handler
from sardinemast.daemon._main import main

__all__ = ('create_log_handler', 'main')
