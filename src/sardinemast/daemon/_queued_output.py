"""Standard output that never holds the process up.

Whoever reads the logs may stall, and a full pipe blocks its writer: a leader
would miss its heartbeats for want of a log reader. Lines are queued, and a
thread writes them; what the queue or the budget does not take is dropped,
counted, and told in a line of its own.
"""

import json
import os
import threading
import time
from collections import deque
from contextlib import suppress

_LINE_END = '\n'
# About four seconds of a leader at 200 starts a second, below 2 MB.
_LINES_MAX = 4096
# Lines a second on average, and how many more at once. A leader at 200 starts
# a second writes 400.
_BUDGET_PER_S = 2000
_BURST = 4000
# Lines are written together; each waking of the thread costs processor time.
_GATHER_S = 0.05
# At the end a reader that stalls is waited for so long.
_CLOSE_S = 0.5


class QueuedOutput:
    """Take lines at once, and write them when the reader takes them."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._left: float = _BURST
        self._counted_s = time.monotonic()
        self._wake = threading.Event()
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue a line, or count it as dropped."""
        now_s = time.monotonic()
        gained = (now_s - self._counted_s) * _BUDGET_PER_S
        self._left = min(self._left + gained, _BURST)
        self._counted_s = now_s
        if self._left < 1 or len(self._lines) >= _LINES_MAX:
            self._dropped += 1
            return
        self._left -= 1
        self._lines.append(line)
        self._wake.set()

    def flush(self) -> None:
        """Do nothing; the thread writes soon."""

    def close(self) -> None:
        """Write what is queued, unless the reader stalls."""
        self._is_closed = True
        self._wake.set()
        self._thread.join(_CLOSE_S)

    def _run(self) -> None:
        with suppress(OSError):
            # Without a reader there is nobody to tell.
            while not self._is_closed:
                self._wake.wait()
                if not self._is_closed:
                    time.sleep(_GATHER_S)
                self._wake.clear()
                self._write_queued()

    def _write_queued(self) -> None:
        taken = [self._lines.popleft() for _ in range(len(self._lines))]
        dropped = self._dropped
        if dropped:
            self._dropped -= dropped
            told = {'level': 'warning', 'part': 'logs', 'text': 'logs.dropped'}
            taken.append(json.dumps({**told, 'lines': dropped}) + _LINE_END)
        left = ''.join(taken).encode()
        while left:
            left = left[os.write(self._descriptor, left) :]
