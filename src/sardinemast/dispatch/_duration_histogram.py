"""Decayed distribution of the ratio of actual to declared durations."""

import math
from collections.abc import Mapping
from types import MappingProxyType

from sardinemast.jobs import DurationKey, DurationSummary

_HALF_LIFE_S = 10.0
# Longest time that passes for the decay between two ends. A queue without
# work for seconds keeps what it has shown.
_IDLE_MAX_S = 0.25
# Where many runs end, older ones count less, so that a shift of the work shows
# within seconds.
_ENDS_MAX = 256
_GROWTH_MIN = 1 + 1 / _ENDS_MAX
# Later ends weigh more instead of earlier ones less, which needs no change of
# all buckets. Weights are scaled down when they reach this.
_SCALE_MAX = 1e6
# Four buckets for each doubling, from a sixteenth to 64 times.
_BUCKETS_PER_DOUBLING = 4
_BUCKET_MIN = -4 * _BUCKETS_PER_DOUBLING
_BUCKET_MAX = 6 * _BUCKETS_PER_DOUBLING
_TENTHS = 10

Distribution = Mapping[float, float]
# Of an unknown key: all tasks take what is declared.
DECLARED: Distribution = MappingProxyType({float(1): float(1)})


class DurationHistogram:
    """Hold the ends of a key's runs, decayed by time and by later ends.

    ``changes`` counts the ends added.
    """

    __slots__ = (
        '_actual_ms',
        '_buckets',
        '_declared_ms',
        '_ends',
        '_failures',
        '_last_s',
        '_scale',
        'changes',
    )

    def __init__(self) -> None:
        self.changes = 0
        self._ends: float = 0
        self._declared_ms: float = 0
        self._actual_ms: float = 0
        self._failures: float = 0
        self._buckets: dict[int, float] = {}
        self._scale: float = 1
        self._last_s = math.inf

    @property
    def ends(self) -> float:
        """Return the decayed number of ends."""
        return self._ends / self._scale

    @property
    def ratio(self) -> float:
        """Return the mean ratio, each run weighted by what it declares.

        Sums of expected durations then meet sums of actual ones, and a task
        that declares next to nothing does not outweigh all others.
        """
        return self._actual_ms / self._declared_ms if self._ends else 1

    @property
    def failure_share(self) -> float:
        """Return the share of runs that failed by the task's own fault."""
        finished = self._ends + self._failures
        return self._failures / finished if finished else 0

    def add_end(
        self, declared_ms: float, actual_ms: float, now_s: float
    ) -> None:
        """Add a run that succeeded."""
        weight = self._grow(now_s)
        self._ends += weight
        self._declared_ms += weight * declared_ms
        self._actual_ms += weight * actual_ms
        bucket = _get_bucket(actual_ms / declared_ms)
        self._buckets[bucket] = self._buckets.get(bucket, 0) + weight

    def add_failure(self, now_s: float) -> None:
        """Add a run that failed by its task's own fault."""
        self._failures += self._grow(now_s)

    def get_distribution(self) -> Distribution:
        """Return the share of each ratio."""
        return {
            _get_middle(bucket): weight / self._ends
            for bucket, weight in self._buckets.items()
        }

    def summarise(self, key: DurationKey) -> DurationSummary:
        """Return the summary for the log."""
        tenths = {
            bucket: round(_TENTHS * weight / self._scale)
            for bucket, weight in self._buckets.items()
        }
        return DurationSummary(
            key,
            round(self.ends, 1),
            round(self._declared_ms / self._scale),
            round(self._actual_ms / self._scale),
            round(_TENTHS * self._failures / self._scale),
            {bucket: weight for bucket, weight in tenths.items() if weight},
        )

    def restore(self, summary: DurationSummary) -> None:
        """Start from a summary in the log."""
        self._ends = summary.ends if summary.declared_ms else 0
        self._declared_ms = summary.declared_ms
        self._actual_ms = summary.actual_ms
        self._failures = summary.own_failures / _TENTHS
        total = sum(summary.buckets.values()) or 1
        self._buckets = {
            bucket: self._ends * weight / total
            for bucket, weight in summary.buckets.items()
        }

    def _grow(self, now_s: float) -> float:
        """Advance the decay and return the weight of a new end."""
        self.changes += 1
        idle_s = min(max(now_s - self._last_s, 0), _IDLE_MAX_S)
        self._last_s = now_s
        self._scale *= max(2 ** (idle_s / _HALF_LIFE_S), _GROWTH_MIN)
        if self._scale > _SCALE_MAX:
            self._rescale()
        return self._scale

    def _rescale(self) -> None:
        self._ends /= self._scale
        self._declared_ms /= self._scale
        self._actual_ms /= self._scale
        self._failures /= self._scale
        for bucket in self._buckets:
            self._buckets[bucket] /= self._scale
        self._scale = 1


def _get_bucket(ratio: float) -> int:
    if ratio <= 0:
        return _BUCKET_MIN
    bucket = math.floor(_BUCKETS_PER_DOUBLING * math.log2(ratio))
    return min(max(bucket, _BUCKET_MIN), _BUCKET_MAX)


def _get_middle(bucket: int) -> float:
    return float(2 ** ((bucket + 1 / 2) / _BUCKETS_PER_DOUBLING))
