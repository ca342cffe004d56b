"""Load generator that measures requests over persistent connections.

``python -m bench._load PORT CONNECTIONS SECONDS KEY [keyed]`` prints one line
of JSON; ``keyed`` gives each request its own idempotency key. Run it as a
separate process, so that it doesn't use CPU time of the measured one.
"""

import asyncio
import json
import sys
import time
from functools import partial
from secrets import token_hex

from hdrh.histogram import HdrHistogram

_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_BODY = b'x' * 200
_KEY_PLACEHOLDER = b'KEYMARK'
_KEY_HEADER = b'Idempotency-Key: %s\r\n' % _KEY_PLACEHOLDER
_WARM_UP_S = 0.3


class _Caller(asyncio.Protocol):
    """Send requests one after another on a connection."""

    def __init__(self, request: bytes, totals: 'Totals') -> None:
        self._request = request
        self._key_prefix = token_hex(8).encode()
        self._number = 0
        self._totals = totals
        self._sent_s: float = 0
        self._buffer = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._send()

    def data_received(self, chunk: bytes) -> None:
        self._buffer += chunk
        headers, end, body = self._buffer.partition(b'\r\n\r\n')
        if not end:
            return
        length_at = headers.lower().index(b'content-length:') + 15
        length = int(headers[length_at:].split(b'\r', 1)[0])
        if len(body) < length:
            return
        self._buffer = body[length:]
        self._totals.record(headers[9:12] == b'200', self._sent_s)
        self._send()

    def connection_lost(self, error: Exception | None) -> None:
        self._totals.closed += 1

    def _send(self) -> None:
        self._sent_s = time.perf_counter()
        self._number += 1
        key = b'%s-%d' % (self._key_prefix, self._number)
        self._transport.write(self._request.replace(_KEY_PLACEHOLDER, key))


class Totals:
    """Count responses and record their latencies."""

    def __init__(self) -> None:
        self.answered = 0
        self.refused = 0
        self.closed = 0
        self.is_recording = False
        self._histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)

    def record(self, is_success: bool, sent_s: float) -> None:
        """Record a response."""
        if not self.is_recording:
            return
        if is_success:
            self.answered += 1
        else:
            self.refused += 1
        latency_us = int((time.perf_counter() - sent_s) * _US_PER_S)
        self._histogram.record_value(latency_us)

    def get_percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency."""
        value_us: int = self._histogram.get_value_at_percentile(percentile)
        return value_us / _US_PER_MS


async def _run(
    port: int,
    connections: int,
    seconds: float,
    key: str,
    keyed: str = '',
) -> None:
    totals = Totals()
    key_header = _KEY_HEADER if keyed else b''
    request = (
        b'POST /enrolment/bench HTTP/1.1\r\nHost: bench\r\n'
        + f'Authorization: Bearer {key}\r\n'.encode()
        + key_header
        + f'Content-Length: {len(_BODY)}\r\n\r\n'.encode()
        + _BODY
    )
    loop = asyncio.get_running_loop()
    await asyncio.gather(
        *(
            loop.create_connection(
                partial(_Caller, request, totals), '127.0.0.1', port
            )
            for _ in range(connections)
        )
    )
    await asyncio.sleep(_WARM_UP_S)
    totals.is_recording = True
    started_s = time.perf_counter()
    await asyncio.sleep(seconds)
    elapsed_s = time.perf_counter() - started_s
    totals.is_recording = False
    report = {
        'per_s': totals.answered / elapsed_s,
        'refused': totals.refused,
        'lost': totals.closed,
        'median_ms': totals.get_percentile_ms(50),
        'p99_ms': totals.get_percentile_ms(99),
    }
    sys.stdout.write(json.dumps(report))


if __name__ == '__main__':
    asyncio.run(
        _run(
            int(sys.argv[1]),
            int(sys.argv[2]),
            float(sys.argv[3]),
            *sys.argv[4:],
        )
    )
