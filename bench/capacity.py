"""Memory, traffic and CPU of state, messages and decisions.

``make capacity`` replaces the tables between the markers in docs/CAPACITY.md.
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
    make_recent_commands,
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

_PAGE_PATH = Path(__file__).parents[1] / 'docs' / 'CAPACITY.md'
_BEGIN_MARKER = '<!-- measured: begin -->'
_END_MARKER = '<!-- measured: end -->'
_SIZES = (200, 400, 800)
_ENTRIES = (8, 16, 32)
_UPSTREAMS = (475, 950, 1900)
_POOL_SIZES = (8, 42, 168)
_MIB_BYTES = 1024 * 1024
_US_PER_S = 1_000_000
_REQUESTS = 300


class _Quantity(NamedTuple):
    """Hold the number of objects of one kind in the target fleet."""

    name: str
    target: int
    make: Callable[[int], Iterable[Command]]


class _QuantityCost(NamedTuple):
    """Hold a table row and the totals in the target fleet."""

    row: str
    snapshot_mib: float
    memory_mib: float


def main() -> None:
    """Measure all costs and write the tables."""
    started_s = time.monotonic()
    sections = [_measure_state(), _measure_streams(), _measure_requests()]
    introduction = (
        f'Measured on {datetime.now(UTC):%Y-%m-%d} by `make capacity` in '
        f'{time.monotonic() - started_s:.0f} s, Python '
        f'{platform.python_version()}, one core each; "spread" is half the '
        'distance between the largest and the smallest of the repeats.'
    )
    page_text = '\n\n'.join((introduction, *sections))
    print(page_text)
    before, _, rest = _PAGE_PATH.read_text().partition(_BEGIN_MARKER)
    after = rest.partition(_END_MARKER)[2]
    _PAGE_PATH.write_text(
        f'{before}{_BEGIN_MARKER}\n\n{page_text}\n\n{_END_MARKER}{after}'
    )


def _measure_state() -> str:
    costs = [_measure_quantity(quantity) for quantity in _QUANTITIES]
    snapshot_mib = sum(one.snapshot_mib for one in costs)
    memory_mib = sum(one.memory_mib for one in costs)
    return '\n'.join(
        (
            '### Replicated state',
            '',
            '| thing | at the target | bytes in a snapshot, each | bytes in '
            'memory, each | CPU to apply, us | MiB at the target |',
            '|---|---|---|---|---|---|',
            *(one.row for one in costs),
            f'| sum | | {snapshot_mib:.2f} MiB | {memory_mib:.2f} MiB | | |',
        ),
    )


def _measure_quantity(quantity: _Quantity) -> _QuantityCost:
    snapshot = measure_slope(_SIZES, partial(_get_snapshot_bytes, quantity), 1)
    memory = measure_slope(_SIZES, partial(_get_memory_bytes, quantity))
    apply_us = _US_PER_S * statistics.median(
        measure_cpu_s(partial(_make_state, quantity, _SIZES[1]), 1) / _SIZES[1]
        for _ in range(3)
    )
    memory_mib = memory.slope * quantity.target / _MIB_BYTES
    return _QuantityCost(
        f'| {quantity.name} | {quantity.target:,} | {snapshot.slope:.0f} | '
        f'{memory.slope:.0f} ± {memory.spread:.0f} | {apply_us:.0f} | '
        f'{memory_mib:.2f} |',
        snapshot.slope * quantity.target / _MIB_BYTES,
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
                f'| {name} | {_fit_slope(by_entry, index):.3g} | '
                f'{_fit_slope(by_upstream, index):.3g} | '
                f'{at_target[index]:.3g} |'
                for index, name in enumerate(_FIGURE_NAMES)
            ),
        ),
    )


def _fit_slope(cases: dict[int, tuple[float, ...]], index: int) -> float:
    _, slope = fit(tuple(cases), [one[index] for one in cases.values()])
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


def _get_memory_bytes(quantity: _Quantity, size: int) -> float:
    return measure_memory_bytes(partial(_make_state, quantity, size))


def _get_snapshot_bytes(quantity: _Quantity, size: int) -> float:
    return len(encode_snapshot(_make_state(quantity, size)))


def _make_state(quantity: _Quantity, size: int) -> FleetState:
    state = FleetState()
    for index, command in enumerate(quantity.make(size), start=1):
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
    times_s = iter(number / 50 for number in range(1, _REQUESTS + 2))
    return _US_PER_S * measure_cpu_s(
        lambda: core.step(entry.Tick(), next(times_s)),
        _REQUESTS,
    )


_QUANTITIES = (
    _Quantity('team', 370, make_teams),
    _Quantity('key', 740, make_keys),
    _Quantity('pool (with overlays of 6 sites)', 315, make_pools),
    _Quantity('instance', 1900, make_instances),
    _Quantity('grant (each team at 5 entries)', 1850, make_grants),
    _Quantity('remembered command (7 days)', 9100, make_recent_commands),
)
_FIGURE_NAMES = (
    'bytes/s of an entry',
    '% of a core of an entry',
    'bytes/s of the leader',
    '% of a core of the leader',
)


if __name__ == '__main__':
    main()
