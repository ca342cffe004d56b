"""Sockets, files and clocks around the cores."""

from sardinemast.shell._control import run_control
from sardinemast.shell._entry import run_entry
from sardinemast.shell._gateway import ControlExtras, WorkerGateway
from sardinemast.shell._identity import Identity, create_identity
from sardinemast.shell._relay import LeaderRelay
from sardinemast.shell._security import Access, create_client_context
from sardinemast.shell._upstream_client import (
    Attempt,
    CallerRequest,
    UpstreamClient,
)

__all__ = (
    'Access',
    'Attempt',
    'CallerRequest',
    'ControlExtras',
    'Identity',
    'LeaderRelay',
    'UpstreamClient',
    'WorkerGateway',
    'create_client_context',
    'create_identity',
    'run_control',
    'run_entry',
)
