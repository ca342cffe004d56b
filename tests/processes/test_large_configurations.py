"""Control processes after hundreds of large changes of the configuration."""

from pathlib import Path
from typing import Any

from builders.platform_fleets import PlatformFleet, make_config
from builders.process_usage import FolderSizes, read_peak_bytes

_ROUTES = 1400
_CHANGES = 300
# A start may need a fifth more memory than the process had while it ran.
_MEMORY_RATIO = 1.2
# Half of the smallest disk of a control process.
_DISK_BYTES = 64 * 1024 * 1024


def _make_large_config(version: int) -> dict[str, Any]:
    config = make_config()
    route = config['routes'][0]
    more = (
        {
            **route,
            'name': f'r-{number:05}',
            'prefix': f'/p-{number:05}/',
            'kind': 'unsafe',
            'slo_ms': 600 + version,
            'prio': number % 2,
            'stretch': 1.6,
            'public': False,
        }
        for number in range(1, _ROUTES)
    )
    return {**config, 'version': version, 'routes': [route, *more]}


def _read_peaks(fleet: PlatformFleet) -> list[int]:
    ids = fleet.processes.ids
    return [read_peak_bytes(ids[host]) for host in fleet.get_controls()]


def test_control_starts_again_after_many_large_changes(tmp_path: Path) -> None:
    """Guard against a start that needs more memory or disk than running does.

    A control process that is killed would be lost for good, and with the third
    one the configuration and all accepted jobs.
    """
    fleet = PlatformFleet(tmp_path)
    hosts = fleet.get_controls()
    folders = tuple(tmp_path / host for host in hosts)
    running, start = FolderSizes(folders), FolderSizes(folders)
    with fleet.run():
        with running.observe():
            for version in range(1, _CHANGES + 1):
                config = _make_large_config(version)
                host = hosts[version % len(hosts)]
                fleet.wait_for(200, 'PUT', '/config', body=config, host=host)
        running_bytes = _read_peaks(fleet)
        fleet.processes.kill(hosts)
        with start.observe():
            for host in hosts:
                fleet.start(host)
            for host in hosts:
                found = fleet.wait_for(200, 'GET', '/config', host=host)
                assert found == config
        ratios = [
            peak / before
            for peak, before in zip(
                _read_peaks(fleet), running_bytes, strict=True
            )
        ]
        assert max(ratios) <= _MEMORY_RATIO
        assert 0 < running.largest_bytes < _DISK_BYTES
        assert start.largest_bytes <= running.largest_bytes
