"""Daemon ``sardinemastd``, its logging and its command line."""

from sardinemast.daemon._logs import create_log_handler
from sardinemast.daemon._main import main
from sardinemast.daemon._queued_output import QueuedOutput

__all__ = ('QueuedOutput', 'create_log_handler', 'main')
