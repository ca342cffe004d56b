"""Sockets, files and clocks around the cores."""

from sardinemast.shell._control import run_control
from sardinemast.shell._entry import run_entry
from sardinemast.shell._identity import Identity, create_identity
from sardinemast.shell._security import create_client_context

__all__ = (
    'Identity',
    'create_client_context',
    'create_identity',
    'run_control',
    'run_entry',
)
