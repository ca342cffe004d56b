"""Bytes and CPU per entry and at the leader, cores in virtual time."""

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
_WARM_S = 6.0
_RUN_S = 4.0
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
    """Print what a quiet fleet costs."""
    for entries, upstreams in _CASES:
        cost = _run(entries, upstreams)
        total = cost.bytes_down + cost.bytes_up
        print(
            f'{entries:3} entries {upstreams:5} upstreams: '
            f'entry {total / entries / _RUN_S:8.0f} bytes/s '
            f'{cost.entries_s / entries / _RUN_S * _PERCENT:6.2f}% core; '
            f'leader {total / _RUN_S:8.0f} bytes/s '
            f'{cost.leader_s / _RUN_S * _PERCENT:6.2f}% core',
        )


def _run(entry_count: int, upstream_count: int) -> _Cost:
    leader = Leader()
    cores = {
        number: entry.EntryCore(
            entry.EntrySettings(f'entry-{number}', 1, 'rennes'),
        )
        for number in range(1, entry_count + 1)
    }
    said = [_announce(number) for number in range(upstream_count)]
    cost = _Cost()
    for tick in range(int((_WARM_S + _RUN_S) / _TICK_S)):
        now_s = 2 + tick * _TICK_S
        if tick == int(_WARM_S / _TICK_S):
            cost = _Cost()
        _feed_leader(leader, cores, control.Tick(), now_s, cost)
        for number in cores:
            if tick == _CONNECT_TICK:
                event = control.EntryConnected(number, f'entry-{number}', 1)
                _feed_leader(leader, cores, event, now_s, cost)
            for place, one in enumerate(said):
                is_due = (place + tick) % _ANNOUNCE_TICKS == 0
                if is_due and (place + tick // 10) % entry_count == number - 1:
                    heard = entry.UpstreamAnnounced(one)
                    _feed_entry(leader, cores, number, heard, now_s, cost)
            _feed_entry(leader, cores, number, entry.Tick(), now_s, cost)
    return cost


def _announce(number: int) -> Announcement:
    pool = f'pool-{number % _POOLS}'
    host = '10.0.0.1'
    return Announcement(f'up-{number}', 1, pool, host, number + 1, 'a', 'r')


def _feed_leader(leader, cores, event, now_s, cost):  # type: ignore
    started_s = time.process_time()
    sent = [
        (one.stream_id, CONTROL_MESSAGES.encode(one.message))
        for one in leader.step(event, now_s)
    ]
    cost.leader_s += time.process_time() - started_s
    for number, frame in sent:
        cost.bytes_down += len(frame) + _ENVELOPE_BYTES
        message = CONTROL_MESSAGES.decode(frame)
        received = entry.ControlReceived(message)
        _feed_entry(leader, cores, number, received, now_s, cost)


def _feed_entry(leader, cores, number, event, now_s, cost):  # type: ignore
    started_s = time.process_time()
    frames = [
        ENTRY_MESSAGES.encode(one.message)
        for one in cores[number].step(event, now_s)
        if isinstance(one, entry.SendToControl)
    ]
    cost.entries_s += time.process_time() - started_s
    for frame in frames:
        cost.bytes_up += len(frame) + _ENVELOPE_BYTES
        received = control.EntryReceived(number, ENTRY_MESSAGES.decode(frame))
        _feed_leader(leader, cores, received, now_s, cost)
