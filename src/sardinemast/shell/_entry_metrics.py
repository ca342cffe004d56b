"""Metrics of the requests at an entry."""

import time
from collections import Counter
from typing import NamedTuple

from sardinemast.admission import Refusal
from sardinemast.metrics import Dimension, LatencyHistograms, render_metrics
from sardinemast.shell._caller_exchange import CallerResponse

_ANSWERED = 'answered'


class _OpenRequest(NamedTuple):
    team: str
    pool: str
    started_s: float
    upstream: str = ''


class EntryMetrics:
    """Count responses by code and record latencies of upstreams."""

    def __init__(self) -> None:
        self._latencies = LatencyHistograms()
        self._counts: Counter[str] = Counter()
        self._requests: dict[int, _OpenRequest] = {}

    def record_arrival(self, request_id: int, team: str, pool: str) -> None:
        """Record a request and the team of its key."""
        self._requests[request_id] = _OpenRequest(team, pool, time.monotonic())

    def record_attempt(self, request_id: int, upstream: str) -> None:
        """Record the upstream of an attempt."""
        request = self._requests.get(request_id)
        if request is not None:
            self._requests[request_id] = request._replace(upstream=upstream)

    def record_response(
        self, request_id: int, response: CallerResponse
    ) -> None:
        """Count a response, and record its latency if it is not a refusal."""
        request = self._requests.pop(request_id, None)
        if isinstance(response, Refusal):
            self._counts[response.code] += 1
            return
        self._counts[_ANSWERED] += 1
        if request is not None:
            names = {
                Dimension.team: request.team,
                Dimension.service: request.pool,
                Dimension.upstream: request.upstream,
            }
            self._latencies.record(names, time.monotonic() - request.started_s)

    def discard(self, request_id: int) -> None:
        """Discard a request whose caller has disconnected."""
        self._requests.pop(request_id, None)

    def render(self, *, is_ready: bool) -> bytes:
        """Return all metrics in the Prometheus text format."""
        gauges = {
            'requests_open': len(self._requests),
            'entry_ready': int(is_ready),
        }
        return render_metrics(self._latencies, self._counts, gauges)

    def encode_latencies(self) -> dict[str, dict[str, str]]:
        """Return the encoded latency histograms."""
        return self._latencies.encode()
