"""Traffic and CPU of entries and the leader without any requests."""

import sys
import time
from pathlib import Path

from sardinemast import control, entry
from sardinemast.membership import Announcement
from sardinemast.protocol import CONTROL_MESSAGES, ENTRY_MESSAGES

sys.path.insert(0, str(Path(__file__).parent.parent / 'tests'))

from builders.operators import Leader

_CASES = (
    (8, 64),
    (16, 64),
    (32, 64),
    (64, 64),
    (20, 475),
    (20, 950),
    (20, 1900),
)
_WARMUP_S = 6.0
_MEASURED_S = 4.0
_TICK_S = 0.05
_ANNOUNCE_TICKS = 10
_CONNECT_TICK = 20
_POOLS = 45
_ENVELOPE_BYTES = 45
_PERCENT = 100


class _Cost:
    def __init__(self) -> None:
        self.leader_s: float = 0
        self.entries_s: float = 0
        self.bytes_down = 0
        self.bytes_up = 0


def main() -> None:
    """Print the costs for fleets of several sizes."""
    for entries, upstreams in _CASES:
        figures = measure(entries, upstreams)
        print(
            f'{entries:3} entries {upstreams:5} upstreams: '
            f'entry {figures[0]:8.0f} bytes/s {figures[1]:6.2f}% core; '
            f'leader {figures[2]:8.0f} bytes/s {figures[3]:6.2f}% core',
        )


def measure(entries: int, upstreams: int) -> tuple[float, ...]:
    """Return bytes/s and % of a core of an entry, then of the leader."""
    cost = _run(entries, upstreams)
    total = (cost.bytes_down + cost.bytes_up) / _MEASURED_S
    return (
        total / entries,
        cost.entries_s / entries / _MEASURED_S * _PERCENT,
        total,
        cost.leader_s / _MEASURED_S * _PERCENT,
    )


def _run(entry_count: int, upstream_count: int) -> _Cost:
    simulation = _Simulation(entry_count)
    announcements = [
        _make_announcement(number) for number in range(upstream_count)
    ]
    for tick in range(int((_WARMUP_S + _MEASURED_S) / _TICK_S)):
        if tick == int(_WARMUP_S / _TICK_S):
            simulation.cost = _Cost()
        simulation.tick(tick, announcements)
    return simulation.cost


class _Simulation:
    """Simulate a leader and entries in virtual time, and sum their costs."""

    def __init__(self, entry_count: int) -> None:
        self.cost = _Cost()
        self._leader = Leader()
        self._now_s: float = 2
        self._cores = {
            number: entry.EntryCore(
                entry.EntrySettings(f'entry-{number}', 1, 'rennes'),
            )
            for number in range(1, entry_count + 1)
        }

    def tick(self, tick: int, announcements: list[Announcement]) -> None:
        """Advance by a tick and deliver the announcements due."""
        self._now_s = 2 + tick * _TICK_S
        self._step_leader(control.Tick())
        for number in self._cores:
            if tick == _CONNECT_TICK:
                name = f'entry-{number}'
                self._step_leader(control.EntryConnected(number, name, 1))
            for announcement in self._get_due(tick, number, announcements):
                announced = entry.UpstreamAnnounced(announcement)
                self._step_entry(number, announced)
            self._step_entry(number, entry.Tick())

    def _get_due(
        self,
        tick: int,
        number: int,
        announcements: list[Announcement],
    ) -> list[Announcement]:
        # Each upstream announces itself to the entries in turn.
        offset = tick // _ANNOUNCE_TICKS
        return [
            one
            for index, one in enumerate(announcements)
            if (index + tick) % _ANNOUNCE_TICKS == 0
            and (index + offset) % len(self._cores) == number - 1
        ]

    def _step_leader(self, event: control.ControlEvent) -> None:
        started_s = time.process_time()
        frames_by_entry = [
            (one.stream_id, CONTROL_MESSAGES.encode(one.message))
            for one in self._leader.step(event, self._now_s)
        ]
        self.cost.leader_s += time.process_time() - started_s
        for number, frame in frames_by_entry:
            self.cost.bytes_down += len(frame) + _ENVELOPE_BYTES
            message = CONTROL_MESSAGES.decode(frame)
            self._step_entry(number, entry.ControlReceived(message))

    def _step_entry(self, number: int, event: entry.EntryEvent) -> None:
        started_s = time.process_time()
        frames = [
            ENTRY_MESSAGES.encode(one.message)
            for one in self._cores[number].step(event, self._now_s)
            if isinstance(one, entry.SendToControl)
        ]
        self.cost.entries_s += time.process_time() - started_s
        for frame in frames:
            self.cost.bytes_up += len(frame) + _ENVELOPE_BYTES
            message = ENTRY_MESSAGES.decode(frame)
            self._step_leader(control.EntryMessageReceived(number, message))


def _make_announcement(number: int) -> Announcement:
    pool = f'pool-{number % _POOLS}'
    host = '10.0.0.1'
    return Announcement(f'up-{number}', 1, pool, host, number + 1, 'a', 'r')
