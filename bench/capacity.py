"""Measure what state, messages and decisions cost, and write the tables.

``make capacity`` rewrites the part of docs/CAPACITY.md between its markers.
"""

import platform
import statistics
import time
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from typing import NamedTuple

from bench import control_cost
from bench._slopes import (
    Slope,
    fit,
    measure_cpu_s,
    measure_memory_bytes,
    measure_slope,
)
from bench._states import (
    make_document,
    make_grants,
    make_instances,
    make_keys,
    make_pools,
    make_remembered,
    make_teams,
)
from sardinemast import entry
from sardinemast.admission import Arrival
from sardinemast.control._snapshots import encode_snapshot
from sardinemast.fleet import (
    AssignInstance,
    ChangeGrants,
    Command,
    FleetState,
    GrantChange,
    GrantKey,
    apply_command,
    digest_key,
    dump_state,
)
from sardinemast.membership import Announcement
from sardinemast.protocol import LeaseGranted, RosterChanged, StateReplaced

_PAGE = Path(__file__).parents[1] / 'docs' / 'CAPACITY.md'
_BEGIN = '<!-- measured: begin -->'
_END = '<!-- measured: end -->'
_SIZES = (200, 400, 800)
_ENTRIES = (8, 16, 32)
_UPSTREAMS = (475, 950, 1900)
_POOL_SIZES = (8, 42, 168)
_MIB_BYTES = 1024 * 1024
_US_PER_S = 1_000_000
_REQUESTS = 300


class _Count(NamedTuple):
    """Hold how many of a thing there are at the target."""

    name: str
    target: int
    make: Callable[[int], Iterable[Command]]


class _Counted(NamedTuple):
    """Hold the row of a thing and its sums."""

    row: str
    image_mib: float
    memory_mib: float


def main() -> None:
    """Measure all slopes, and write the tables."""
    started_s = time.monotonic()
    parts = [_measure_state(), _measure_streams(), _measure_requests()]
    head = (
        f'Measured on {datetime.now(UTC):%Y-%m-%d} by `make capacity` in '
        f'{time.monotonic() - started_s:.0f} s, Python '
        f'{platform.python_version()}, one core each; "spread" is half the '
        'distance between the largest and the smallest of the repeats.'
    )
    tables = '\n\n'.join((head, *parts))
    print(tables)
    before, _, rest = _PAGE.read_text().partition(_BEGIN)
    after = rest.partition(_END)[2]
    _PAGE.write_text(f'{before}{_BEGIN}\n\n{tables}\n\n{_END}{after}')


def _measure_state() -> str:
    counted = [_measure_count(count) for count in _COUNTS]
    image_mib = sum(one.image_mib for one in counted)
    memory_mib = sum(one.memory_mib for one in counted)
    return '\n'.join(
        (
            '### Replicated state',
            '',
            '| thing | at the target | bytes in a snapshot, each | bytes in '
            'memory, each | CPU to apply, us | MiB at the target |',
            '|---|---|---|---|---|---|',
            *(one.row for one in counted),
            f'| sum | | {image_mib:.2f} MiB | {memory_mib:.2f} MiB | | |',
        ),
    )


def _measure_count(count: _Count) -> _Counted:
    image = measure_slope(_SIZES, partial(_get_image_bytes, count), 1)
    memory = measure_slope(_SIZES, partial(_get_memory_bytes, count))
    apply_us = _US_PER_S * statistics.median(
        measure_cpu_s(partial(_make_state, count, _SIZES[1]), 1) / _SIZES[1]
        for _ in range(3)
    )
    memory_mib = memory.slope * count.target / _MIB_BYTES
    return _Counted(
        f'| {count.name} | {count.target:,} | {image.slope:.0f} | '
        f'{memory.slope:.0f} ± {memory.spread:.0f} | {apply_us:.0f} | '
        f'{memory_mib:.2f} |',
        image.slope * count.target / _MIB_BYTES,
        memory_mib,
    )


def _measure_streams() -> str:
    by_entry = {size: control_cost.measure(size, 64) for size in _ENTRIES}
    by_upstream = {size: control_cost.measure(20, size) for size in _UPSTREAMS}
    at_target = by_upstream[_UPSTREAMS[-1]]
    return '\n'.join(
        (
            '### Streams between entries and the leader, no requests running',
            '',
            '| figure | each entry more | each upstream more | at 20 entries '
            'and 1,900 upstreams |',
            '|---|---|---|---|',
            *(
                f'| {name} | {_fit_figure(by_entry, place):.3g} | '
                f'{_fit_figure(by_upstream, place):.3g} | '
                f'{at_target[place]:.3g} |'
                for place, name in enumerate(_FIGURES)
            ),
        ),
    )


def _fit_figure(cases: dict[int, tuple[float, ...]], place: int) -> float:
    _, slope = fit(tuple(cases), [one[place] for one in cases.values()])
    return slope


def _measure_requests() -> str:
    request = measure_slope(_POOL_SIZES, _measure_request_us)
    tick = measure_slope(_UPSTREAMS, _measure_tick_us)
    return '\n'.join(
        (
            '### Decisions of an entry, CPU',
            '',
            '| decision | base | each upstream more | at the target |',
            '|---|---|---|---|',
            _format_us(
                'one request, with 42 upstreams in its pool', request, 42
            ),
            _format_us('one tick of 50 a second, 1,900 upstreams', tick, 1900),
        ),
    )


def _format_us(name: str, slope: Slope, target: int) -> str:
    return (
        f'| {name} | {slope.base:.0f} us | {slope.slope:.3f} ± '
        f'{slope.spread:.3f} us | {slope.predict(target):.0f} us |'
    )


def _get_memory_bytes(count: _Count, size: int) -> float:
    return measure_memory_bytes(partial(_make_state, count, size))


def _get_image_bytes(count: _Count, size: int) -> float:
    return len(encode_snapshot(_make_state(count, size)))


def _make_state(count: _Count, size: int) -> FleetState:
    state = FleetState()
    for index, command in enumerate(count.make(size), start=1):
        apply_command(state, command, index)
    return state


def _make_entry(upstreams: int) -> entry.EntryCore:
    state = FleetState()
    commands = [
        make_document(1),
        GrantKey('', 'key', 'team-0', digest_key('key')),
        ChangeGrants((GrantChange('entry-1', 1, 'team-0', 8),)),
        *(
            AssignInstance('', f'instance-{number}', 'pool-0')
            for number in range(upstreams)
        ),
    ]
    for index, command in enumerate(commands, start=1):
        apply_command(state, command, index)
    core = entry.EntryCore(entry.EntrySettings('entry-1', 1, 'site'))
    roster = tuple(
        Announcement(f'instance-{number}', 1, 'pool-0', 'h', 1, 'site', 'r')
        for number in range(upstreams)
    )
    for message in (
        StateReplaced(dump_state(state)),
        RosterChanged(roster),
        LeaseGranted(0, 1_000_000, len(commands)),
    ):
        core.step(entry.ControlReceived(message), 0)
    return core


def _measure_request_us(upstreams: int) -> float:
    core = _make_entry(upstreams)
    digest = digest_key('key')

    def serve_all() -> None:
        for number in range(1, _REQUESTS + 1):
            now_s = number / 1000
            arrival = Arrival(number, 'pool-0', digest, True, 5, 10)
            core.step(entry.RequestArrived(arrival), now_s)
            ended = entry.AttemptEnded(number, entry.AttemptResult.answered)
            core.step(ended, now_s)

    return measure_cpu_s(serve_all, 1) / _REQUESTS * _US_PER_S


def _measure_tick_us(upstreams: int) -> float:
    core = _make_entry(upstreams)
    moments = iter(number / 50 for number in range(1, _REQUESTS + 2))
    return _US_PER_S * measure_cpu_s(
        lambda: core.step(entry.Tick(), next(moments)),
        _REQUESTS,
    )


_COUNTS = (
    _Count('team', 370, make_teams),
    _Count('key', 740, make_keys),
    _Count('pool (with overlays of 6 sites)', 315, make_pools),
    _Count('instance', 1900, make_instances),
    _Count('grant (each team at 5 entries)', 1850, make_grants),
    _Count('remembered command (7 days)', 9100, make_remembered),
)
_FIGURES = (
    'bytes/s of an entry',
    '% of a core of an entry',
    'bytes/s of the leader',
    '% of a core of the leader',
)


if __name__ == '__main__':
    main()
