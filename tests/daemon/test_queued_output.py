"""Logs whose reader stalls or is gone."""

import json
import os
import time

from sardinemast.daemon import QueuedOutput

_LINE = 'x' * 1000
_MANY = 8000
_WAIT_S = 5.0


def _read_until(descriptor: int, text: str) -> str:
    """Read until the text has come, or time is over."""
    found = ''
    due_s = time.monotonic() + _WAIT_S
    while text not in found and time.monotonic() < due_s:
        found += os.read(descriptor, 1024 * 1024).decode()
    return found


def test_reader_that_stalls_holds_nobody_up() -> None:
    """Nobody reads the pipe for a while, and the process goes on logging.

    A leader that waited for its log's reader would miss its heartbeats, and
    all callers would wait for the next leader.
    """
    reading, writing = os.pipe()
    output = QueuedOutput(writing)
    begun_s = time.monotonic()
    for _ in range(_MANY):
        output.write(f'{_LINE}\n')
    assert time.monotonic() - begun_s < 1
    found = _read_until(reading, 'logs.dropped')
    told = json.loads(found.strip().rpartition('\n')[2])
    assert told['lines'] > 0
    assert found.count(_LINE) + told['lines'] == _MANY
    output.close()


def test_lines_are_written_in_order_and_at_the_end() -> None:
    """A process ends right after its last lines."""
    reading, writing = os.pipe()
    output = QueuedOutput(writing)
    for number in range(50):
        output.write(f'line {number}\n')
    output.close()
    expected = ''.join(f'line {number}\n' for number in range(50))
    assert os.read(reading, 65536).decode() == expected


def test_close_does_not_wait_for_a_reader_that_stalls() -> None:
    """A process must end in time also when nobody reads its logs."""
    _, writing = os.pipe()
    output = QueuedOutput(writing)
    for _ in range(1000):
        output.write(f'{_LINE}\n')
    begun_s = time.monotonic()
    output.close()
    assert time.monotonic() - begun_s < 2


def test_reader_that_is_gone_ends_nothing() -> None:
    """The program that read the logs has ended."""
    reading, writing = os.pipe()
    os.close(reading)
    output = QueuedOutput(writing)
    for _ in range(10):
        output.write(f'{_LINE}\n')
        time.sleep(0.02)
    output.close()
