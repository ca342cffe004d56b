"""Log output whose reader stalls or has exited."""

import json
import os
import time
from contextlib import suppress

from sardinemast.daemon import QueuedOutput

_LINE = 'x' * 1000
_LINE_COUNT = 8000
_READ_TIMEOUT_S = 5.0


def _read_until(descriptor: int, text: str) -> str:
    """Read until the text arrives or the timeout expires."""
    output_text = ''
    deadline_s = time.monotonic() + _READ_TIMEOUT_S
    while text not in output_text and time.monotonic() < deadline_s:
        output_text += os.read(descriptor, 1024 * 1024).decode()
    return output_text


def test_stalled_reader_does_not_block_writes() -> None:
    """Guard against a leader that misses heartbeats due to a full pipe.

    Dropped lines are counted.
    """
    reader, writer = os.pipe()
    output = QueuedOutput(writer)
    started_s = time.monotonic()
    for _ in range(_LINE_COUNT):
        output.write(f'{_LINE}\n')
    assert time.monotonic() - started_s < 1
    output_text = _read_until(reader, 'logs.dropped')
    notice = json.loads(output_text.strip().rpartition('\n')[2])
    assert notice['lines'] > 0
    assert output_text.count(_LINE) + notice['lines'] == _LINE_COUNT
    output.close()


def test_close_writes_queued_lines_in_order() -> None:
    """Guard against the loss of the last lines before an exit."""
    reader, writer = os.pipe()
    output = QueuedOutput(writer)
    for number in range(50):
        output.write(f'line {number}\n')
    output.close()
    expected = ''.join(f'line {number}\n' for number in range(50))
    assert os.read(reader, 65536).decode() == expected


def test_close_does_not_wait_for_stalled_reader() -> None:
    """Guard against a process that cannot exit due to a full pipe."""
    _, writer = os.pipe()
    output = QueuedOutput(writer)
    for _ in range(1000):
        output.write(f'{_LINE}\n')
    started_s = time.monotonic()
    output.close()
    assert time.monotonic() - started_s < 2


def test_closed_pipe_raises_no_error() -> None:
    """Guard against a crash after the exit of the log reader."""
    reader, writer = os.pipe()
    os.close(reader)
    output = QueuedOutput(writer)
    for _ in range(10):
        output.write(f'{_LINE}\n')
        time.sleep(0.02)
    output.close()


def test_full_pipe_without_blocking_does_not_end_the_output() -> None:
    """Guard against a process whose log ends for good.

    Another process that shares the pipe may have made it non-blocking.
    """
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    output = QueuedOutput(writer)
    for _ in range(1000):
        output.write(f'{_LINE}\n')
    time.sleep(0.2)
    received = 0
    deadline_s = time.monotonic() + _READ_TIMEOUT_S
    while received < 1000 and time.monotonic() < deadline_s:
        with suppress(BlockingIOError):
            received += os.read(reader, 1024 * 1024).count(b'\n')
    output.close()
    assert received == 1000
