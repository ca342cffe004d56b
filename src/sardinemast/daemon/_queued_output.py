"""Non-blocking output for logs.

A log reader that stalls fills the pipe, and a blocking write would make a
leader miss its heartbeats. Lines are queued and written by a thread. Lines
beyond the queue size or the rate limit are dropped, and their number is
logged.
"""

import json
import os
import threading
import time
from collections import deque
from contextlib import suppress

_LINE_END = '\n'
# About 4 s of a leader that starts 200 runs per second, below 2 MB.
_MAX_QUEUED_LINES = 4096
# Rate limit as a token bucket, in lines. A leader that starts 200 runs per
# second writes 400.
_RATE_LINES_PER_S = 2000
_BURST_LINES = 4000
# Batches writes, which saves wake-ups of the thread.
_BATCH_INTERVAL_S = 0.05
# Limits how long ``close`` waits for a stalled reader.
_CLOSE_TIMEOUT_S = 0.5


class QueuedOutput:
    """Queue lines without blocking and write them from a thread."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._tokens: float = _BURST_LINES
        self._refilled_s = time.monotonic()
        self._wake = threading.Event()
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue a line, or drop it if the queue or the rate limit is hit."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * _RATE_LINES_PER_S
        self._tokens = min(self._tokens + refill, _BURST_LINES)
        self._refilled_s = now_s
        if self._tokens < 1 or len(self._lines) >= _MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._tokens -= 1
        self._lines.append(line)
        self._wake.set()

    def flush(self) -> None:
        """Do nothing: the thread writes queued lines."""

    def close(self) -> None:
        """Write the queued lines, unless the reader stalls."""
        self._is_closed = True
        self._wake.set()
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        with suppress(OSError):
            # A closed pipe ends the thread.
            while not self._is_closed:
                self._wake.wait()
                if not self._is_closed:
                    time.sleep(_BATCH_INTERVAL_S)
                self._wake.clear()
                self._write_queued()

    def _write_queued(self) -> None:
        batch = [self._lines.popleft() for _ in range(len(self._lines))]
        dropped = self._dropped
        if dropped:
            self._dropped -= dropped
            notice = {
                'level': 'warning',
                'part': 'logs',
                'text': 'logs.dropped',
            }
            batch.append(json.dumps({**notice, 'lines': dropped}) + _LINE_END)
        unwritten = ''.join(batch).encode()
        while unwritten:
            try:
                written = os.write(self._descriptor, unwritten)
            except BlockingIOError:
                # Another process may have made a shared pipe non-blocking.
                time.sleep(_BATCH_INTERVAL_S)
                continue
            unwritten = unwritten[written:]
