"""Merge a base file and its overlays into a validated document."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any

from sardinemast.checks import CheckError, Finding, Level
from sardinemast.conf._fields import (
    Field,
    mapping_of,
    number,
    partial_record,
    record,
    text,
)
from sardinemast.conf._files import read_file
from sardinemast.fleet import FleetDocument, Pool, Site, Team

_MIN_DURATION_S = 0.001
_MIN_SHARE = 0.001
_POOL_DEFAULTS = Pool('')
_SITE_FIELDS = MappingProxyType({'region': Field(text())})
_TEAM_FIELDS = MappingProxyType(
    {
        'share': Field(number(_MIN_SHARE), 1.0),
        'limit': Field(number(0, is_whole=True)),
    }
)
_POOL_FIELDS = MappingProxyType(
    {
        'slots': Field(number(1, is_whole=True), _POOL_DEFAULTS.slots),
        'connections': Field(
            number(1, is_whole=True), _POOL_DEFAULTS.connections
        ),
        'run_bound_s': Field(
            number(_MIN_DURATION_S), _POOL_DEFAULTS.run_bound_s
        ),
        'deadline_s': Field(number(_MIN_DURATION_S), _POOL_DEFAULTS.deadline_s),
        'body_limit_bytes': Field(
            number(0, is_whole=True), _POOL_DEFAULTS.body_limit_bytes
        ),
        'budget_down': Field(number(0, is_whole=True), 1),
    }
)
_BASE = record(
    {
        'sites': Field(mapping_of(record(_SITE_FIELDS))),
        'pools': Field(mapping_of(record(_POOL_FIELDS))),
        'teams': Field(mapping_of(record(_TEAM_FIELDS))),
    },
)
_OVERLAY = record(
    {
        'site': Field(text()),
        'pools': Field(mapping_of(partial_record(_POOL_FIELDS)), {}),
    },
)


def load_fleet_files(base: Path, overlays: Sequence[Path]) -> FleetDocument:
    """Return the merged files, or raise ``CheckError`` with all findings."""
    declared, base_file = read_file(base, _BASE)
    findings = list(base_file.findings)
    read_overlays = []
    for path in overlays:
        overlay, overlay_file = read_file(path, _OVERLAY)
        findings.extend(overlay_file.findings)
        read_overlays.append((str(path), overlay))
    if not findings:
        findings.extend(_check_overlays(declared, read_overlays))
    if findings:
        raise CheckError(findings)
    return _merge(declared, [overlay for _, overlay in read_overlays])


def _check_overlays(
    declared: Any,
    overlays: Sequence[tuple[str, Any]],
) -> list[Finding]:
    findings: list[Finding] = []
    seen: set[str] = set()
    for name, overlay in overlays:
        site = overlay['site']
        if site not in declared['sites']:
            findings.append(
                _make_finding(name, 'conf.E014', f'Unknown site {site!r}.')
            )
        if site in seen:
            findings.append(
                _make_finding(
                    name,
                    'conf.E015',
                    f'Site {site!r} has more than one overlay.',
                ),
            )
        seen.add(site)
        findings.extend(
            _make_finding(
                name, 'conf.E016', f'Pool {pool!r} is not in the base file.'
            )
            for pool in overlay['pools']
            if pool not in declared['pools']
        )
    return findings


def _make_finding(name: str, check_id: str, message: str) -> Finding:
    return Finding(check_id, Level.error, message, '', name, 1, 1)


def _merge(declared: Any, overlays: Sequence[Any]) -> FleetDocument:
    pools = _build(Pool, declared['pools'])
    site_pools = {
        overlay['site']: {
            name: pools[name]._replace(**fields)
            for name, fields in overlay['pools'].items()
        }
        for overlay in overlays
    }
    return FleetDocument(
        _build(Site, declared['sites']),
        pools,
        _build(Team, declared['teams']),
        site_pools,
    )


def _build(kind: Any, declared: Mapping[str, Any]) -> Any:
    return {
        name: kind(name=name, **fields) for name, fields in declared.items()
    }
