"""Settings files of the demo."""

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

import yaml

CALLER_PORT = 8080
PEER_PORT = 8100
OPERATOR_PORT = 8101
CALLER_ADDRESS = f'127.0.0.1:{CALLER_PORT}'
OPERATOR_ADDRESS = f'127.0.0.1:{OPERATOR_PORT}'
_BASE = MappingProxyType(
    {
        'sites': {'local': {'region': 'brittany'}},
        'pools': {'enrolment': {'deadline_s': 2}},
        'teams': {
            'petits-pixels': {'share': 2, 'limit': 10},
            'atelier-algo': {'share': 1, 'limit': 0},
        },
    }
)
_OVERLAY = MappingProxyType(
    {'site': 'local', 'pools': {'enrolment': {'slots': 4}}},
)


class DemoFiles(NamedTuple):
    """Hold the paths of the settings files."""

    process: Path
    base: Path
    overlay: Path


def write_files(folder: Path) -> DemoFiles:
    """Write the settings of one process and of its fleet."""
    process = {
        'name': 'demo-1',
        'roles': ['control', 'entry'],
        'data_centre': 'local',
        'data_folder': str(folder / 'data'),
        'callers': {'port': CALLER_PORT},
        'controls': [
            {
                'name': 'demo-1',
                'peer': {'port': PEER_PORT},
                'operator': {'port': OPERATOR_PORT},
            },
        ],
    }
    return DemoFiles(
        _write(folder / 'process.yaml', process),
        _write(folder / 'base.yaml', _BASE),
        _write(folder / 'local.yaml', _OVERLAY),
    )


def _write(path: Path, content: Mapping[str, object]) -> Path:
    path.write_text(yaml.safe_dump(dict(content), sort_keys=False))
    return path
