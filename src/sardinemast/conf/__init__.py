"""YAML settings of a fleet, with overlays per site, and of a process."""

from sardinemast.conf._fleet_files import load_fleet_files
from sardinemast.conf._process_files import (
    Address,
    Cluster,
    ControlAddress,
    LogSettings,
    ProcessSettings,
    Security,
    get_control_address,
    load_process_file,
)

__all__ = (
    'Address',
    'Cluster',
    'ControlAddress',
    'LogSettings',
    'ProcessSettings',
    'Security',
    'get_control_address',
    'load_fleet_files',
    'load_process_file',
)
