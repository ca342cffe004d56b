"""Validation and merging of fleet files."""

from pathlib import Path

import pytest

from sardinemast.checks import CheckError
from sardinemast.conf import load_fleet_files

_MISTAKES = """\
sites: {rennes: {region: brittany}}
pools:
  enrolment: {slots: none, colour: red}
teams:
  petits-pixels: {limit: -1}
"""


def test_all_mistakes_are_reported_at_once(tmp_path: Path) -> None:
    """Report each mistake with its line and column."""
    base = tmp_path / 'base.yaml'
    base.write_text(_MISTAKES)
    with pytest.raises(CheckError) as caught:
        load_fleet_files(base, [])
    places = [
        (one.check_id, one.line, one.column) for one in caught.value.findings
    ]
    assert places == [
        ('conf.E004', 3, 22),
        ('conf.E010', 3, 28),
        ('conf.E005', 5, 26),
    ]


def test_overlay_changes_its_site_only(tmp_path: Path) -> None:
    """Guard against an overlay that changes pools of other sites."""
    base = tmp_path / 'base.yaml'
    base.write_text(
        'sites: {rennes: {region: b}, brest: {region: b}}\n'
        'pools: {enrolment: {slots: 8}}\n'
        'teams: {}\n',
    )
    overlay = tmp_path / 'rennes.yaml'
    overlay.write_text('site: rennes\npools: {enrolment: {slots: 4}}\n')
    document = load_fleet_files(base, [overlay])
    assert document.pools['enrolment'].slots == 8
    assert document.site_pools['rennes']['enrolment'].slots == 4
