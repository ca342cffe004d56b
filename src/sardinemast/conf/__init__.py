"""Settings in YAML: one base file, an overlay for each site, processes."""

from sardinemast.conf._fleet_files import load_fleet_files
from sardinemast.conf._process_files import (
    Address,
    ControlAddress,
    LogSettings,
    ProcessSettings,
    Security,
    load_process_file,
)

__all__ = (
    'Address',
    'ControlAddress',
    'LogSettings',
    'ProcessSettings',
    'Security',
    'load_fleet_files',
    'load_process_file',
)
