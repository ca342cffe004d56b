"""What an entry measures of its callers' requests."""

import time
from collections import Counter
from typing import NamedTuple

from sardinemast.admission import Refusal
from sardinemast.metrics import Dimension, LatencyHistograms, render_metrics
from sardinemast.shell._caller_exchange import CallerResponse

_ANSWERED = 'answered'


class _Begun(NamedTuple):
    team: str
    pool: str
    started_s: float
    upstream: str = ''


class EntryMetrics:
    """Count final answers by code, and latencies of upstreams' answers."""

    def __init__(self) -> None:
        self._book = LatencyHistograms()
        self._counts: Counter[str] = Counter()
        self._begun: dict[int, _Begun] = {}

    def note_arrival(self, request_id: int, team: str, pool: str) -> None:
        """Note a request of a team that is known by its key."""
        self._begun[request_id] = _Begun(team, pool, time.monotonic())

    def note_attempt(self, request_id: int, upstream: str) -> None:
        """Note the upstream that a request is sent to."""
        begun = self._begun.get(request_id)
        if begun is not None:
            self._begun[request_id] = begun._replace(upstream=upstream)

    def note_answer(self, request_id: int, answer: CallerResponse) -> None:
        """Count a final answer."""
        begun = self._begun.pop(request_id, None)
        if isinstance(answer, Refusal):
            self._counts[answer.code] += 1
            return
        self._counts[_ANSWERED] += 1
        if begun is not None:
            names = {
                Dimension.team: begun.team,
                Dimension.service: begun.pool,
                Dimension.upstream: begun.upstream,
            }
            self._book.record(names, time.monotonic() - begun.started_s)

    def forget(self, request_id: int) -> None:
        """Forget a request whose caller has left."""
        self._begun.pop(request_id, None)

    def render(self, *, is_ready: bool) -> bytes:
        """Give all metrics in the usual text format."""
        gauges = {
            'requests_open': len(self._begun),
            'entry_ready': int(is_ready),
        }
        return render_metrics(self._book, self._counts, gauges)

    def encode_latencies(self) -> dict[str, dict[str, str]]:
        """Give the histograms, to be merged with other entries'."""
        return self._book.encode()
