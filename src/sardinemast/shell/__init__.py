"""Run the cores in processes: sockets, files, clocks and HTTP."""

from sardinemast.shell._control import run_control
from sardinemast.shell._entry import run_entry
from sardinemast.shell._gateway import ControlExtras, WorkerGateway
from sardinemast.shell._http_connection import Header
from sardinemast.shell._identity import Identity, create_identity
from sardinemast.shell._relay import CallRoute, LeaderRelay
from sardinemast.shell._security import Access, create_client_context
from sardinemast.shell._upstream_client import (
    RawAttempt,
    UpstreamClient,
    encode_request,
)

__all__ = (
    'Access',
    'ControlExtras',
    'Header',
    'Identity',
    'LeaderRelay',
    'RawAttempt',
    'UpstreamClient',
    'CallRoute',
    'WorkerGateway',
    'create_client_context',
    'create_identity',
    'encode_request',
    'run_control',
    'run_entry',
)
