"""Pages of reference against the code."""

import re
from pathlib import Path

from sardinemast.conf import _fleet_files, _process_files

_ROOT = Path(__file__).parents[2]
_CODE = re.compile(r"'([a-z]+\.E\d{3})'")


def _read(name: str) -> str:
    return (_ROOT / 'docs' / 'reference' / name).read_text()


def test_every_setting_is_described() -> None:
    """Each name that a settings file may hold stands on the page."""
    names = {
        *_fleet_files._POOL_FIELDS,
        *_fleet_files._TEAM_FIELDS,
        *_process_files._LOGS,
        *_process_files.ProcessSettings._fields,
    }
    page = _read('settings.md')
    missing = [name for name in names if name not in page]
    assert missing == []


def test_every_code_is_described() -> None:
    """Each code in the source stands on the page, and no other."""
    found = {
        code
        for path in (_ROOT / 'src').rglob('*.py')
        for code in _CODE.findall(path.read_text())
    }
    listed = set(re.findall(r'`([a-z]+\.E\d{3})`', _read('errors.md')))
    assert listed == found
