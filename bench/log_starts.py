"""Memory, time and written bytes of a start, and the log bytes of a change.

The log holds changes of the catalog. Each figure of a process is of a new one,
so that nothing stays in its memory from before.
"""

import resource
import sys
import tempfile
import zlib
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from multiprocessing import get_context
from pathlib import Path
from random import Random
from time import monotonic, process_time
from typing import NamedTuple, TypeVar

import msgspec

from sardinemast.consensus import LogEntry
from sardinemast.fleet import COMMANDS
from sardinemast.jobs import Catalog, Pool, Queue, Team
from sardinemast.jobs.commands import PutCatalog
from sardinemast.storage import OS_FILE_FUNCTIONS, open_log_store

_LOG_MB = (10, 60, 120)
_ROUTES = (50, 370, 1400)
_POOLS = 5
_NAME_BITS = 40
_TEAMS = 20
_KIB_BYTES = 1024
_MS = 1000
_MB_BYTES = 1024 * 1024
# Changes of a day that the target names.
_CHANGES_PER_DAY = 1300
_Result = TypeVar('_Result')


class _Start(NamedTuple):
    """Hold the most memory, the time, and what was written."""

    peak_mb: float
    duration_s: float
    written_mb: float


def main() -> None:
    """Print the figures of starts and of changes."""
    for routes in _ROUTES:
        _print_change(routes)
    _write_line(
        'log MB: running MB, peak MB of a start, ratio, seconds, written MB'
    )
    for log_mb in _LOG_MB:
        with tempfile.TemporaryDirectory() as folder:
            _print_start(Path(folder) / 'replica', log_mb)


def _print_change(routes: int) -> None:
    change = _make_change(routes, 1)
    payload = COMMANDS.encode(change)
    size = len(payload)
    began_s = process_time()
    compressed = len(zlib.compress(payload))
    duration_ms = (process_time() - began_s) * _MS
    source = len(zlib.compress(change.source))
    day_mb = size * _CHANGES_PER_DAY / _MB_BYTES
    _write_line(
        f'{routes} routes: {len(change.source) / _KIB_BYTES:.0f} KiB sent, '
        f'{source / _KIB_BYTES:.0f} compressed; '
        f'{size / _KIB_BYTES:.0f} KiB in the log, {day_mb:.0f} MB a day, '
        f'{compressed / _KIB_BYTES:.0f} compressed in {duration_ms:.1f} ms',
    )


def _print_start(folder: Path, log_mb: int) -> None:
    running_mb = _call_in_new_process(partial(_write_log, folder, log_mb))
    start = _call_in_new_process(partial(_start, folder))
    _write_line(
        f'{log_mb}: {running_mb:.0f} {start.peak_mb:.0f} '
        f'{start.peak_mb / running_mb:.2f} {start.duration_s:.2f} '
        f'{start.written_mb:.1f}',
    )


def _call_in_new_process(function: Callable[[], _Result]) -> _Result:
    with ProcessPoolExecutor(1, get_context('spawn')) as executor:
        return executor.submit(function).result()


def _write_log(folder: Path, log_mb: int) -> float:
    """Write a log and return the memory of a process that also holds it."""
    store, _ = open_log_store(folder)
    entries: list[LogEntry] = []
    written = 0
    while written < log_mb * _MB_BYTES:
        change = _make_change(_ROUTES[-1], len(entries) + 1)
        payload = COMMANDS.encode(change)
        entries.append(LogEntry(len(entries) + 1, 1, payload))
        store.append_entries((entries[-1],))
        written += len(payload)
    store.close()
    return _get_peak_mb()


def _start(folder: Path) -> _Start:
    written: list[int] = []

    def count_written(descriptor: int, content: bytes) -> int:
        written.append(OS_FILE_FUNCTIONS.write(descriptor, content))
        return written[-1]

    def count_written_at(descriptor: int, content: bytes, position: int) -> int:
        written.append(
            OS_FILE_FUNCTIONS.write_at(descriptor, content, position)
        )
        return written[-1]

    files = OS_FILE_FUNCTIONS._replace(
        write=count_written, write_at=count_written_at
    )
    began_s = monotonic()
    store, loaded = open_log_store(folder, files)
    duration_s = monotonic() - began_s
    store.close()
    if not loaded.entries:
        raise ValueError('The log is empty.')
    return _Start(_get_peak_mb(), duration_s, sum(written) / _MB_BYTES)


def _make_change(routes: int, version: int) -> PutCatalog:
    draw = Random(1)
    pools = tuple(Pool(f'pool-{number}') for number in range(_POOLS))
    queues = tuple(
        Queue(
            f'r-{draw.getrandbits(_NAME_BITS):x}',
            f'host-{number % _POOLS}.example',
            f'/{draw.getrandbits(_NAME_BITS):x}/',
            pools[number % _POOLS].name,
            timeout_ms=3000,
            target_ms=600,
            max_attempts=3,
            stretch=1.6,
        )
        for number in range(routes)
    )
    teams = tuple(
        Team(f'team-{number}', (f'key-{number}',)) for number in range(_TEAMS)
    )
    catalog = Catalog(version, queues, pools, teams)
    fields = [one._asdict() for one in queues]
    return PutCatalog(catalog, msgspec.json.encode(fields))


def _get_peak_mb() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss * _KIB_BYTES / _MB_BYTES


def _write_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
