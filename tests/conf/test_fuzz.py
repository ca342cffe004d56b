"""Settings files with arbitrary content."""

from pathlib import Path
from tempfile import TemporaryDirectory

import yaml
from hypothesis import given
from hypothesis import strategies as st

from sardinemast.checks import CheckError
from sardinemast.conf import load_fleet_files, load_process_file

_SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
_KEYS = st.text(max_size=4) | st.sampled_from(
    ('sites', 'pools', 'teams', 'slots', 'limit', 'region', 'controls'),
)
_TREES = st.recursive(
    _SCALARS,
    lambda inner: st.lists(inner) | st.dictionaries(_KEYS, inner),
)


def _load_both(content: bytes) -> None:
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'any.yaml'
        path.write_bytes(content)
        for load in (load_process_file, _load_base):
            try:
                load(path)
            except CheckError as error:
                assert all(one.line and one.column for one in error.findings)


def _load_base(path: Path) -> object:
    return load_fleet_files(path, [path])


@given(st.binary(max_size=200))
def test_arbitrary_bytes_give_findings(content: bytes) -> None:
    """Guard against crashes on files that are not YAML."""
    _load_both(content)


@given(_TREES)
def test_arbitrary_yaml_gives_findings(tree: object) -> None:
    """Guard against crashes on YAML of an unexpected structure."""
    _load_both(yaml.safe_dump(tree).encode())
