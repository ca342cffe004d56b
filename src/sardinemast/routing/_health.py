"""Health of upstreams, and ejection of those that fail or are slow."""

import math
from random import Random
from statistics import median

_FAILURE_WEIGHT = 0.2
_DURATION_WEIGHT = 0.2
_EJECTION_FAILURE_RATE = 0.5
_SLOW_FACTOR = 5
_MIN_SLOW_SAMPLES = 5
_RECOVERED_SAMPLES = 20
_MIN_DURATION_S = 0.0001
_INITIAL_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0
_MAX_DOUBLINGS = 5
_EJECTION_JITTER = 0.2
# Delay before a request that is not repeatable may serve as a probe, so that
# repeatable requests probe first.
_REPEATABLE_PROBES_ONLY_S = 5.0
_WARM_UP_S = 10.0
_COLD_SLOT_SHARE = 0.25


class UpstreamHealth:
    """Track failures, durations and ejections of one upstream process.

    The mean duration is geometric, so that a single long request does not
    make a good upstream look slow.
    """

    def __init__(self, warm_since_s: float) -> None:
        self._warm_since_s = warm_since_s
        self._log_duration: float | None = None
        self._samples = 0
        self._failure_rate: float = 0
        self._ejected_since_s: float = 0
        self._ejected_until_s: float | None = None
        self._ejection_count = 0

    @property
    def is_ejected(self) -> bool:
        """Return whether the upstream gets probes only."""
        return self._ejected_until_s is not None

    @property
    def duration_s(self) -> float | None:
        """Return the mean duration of an answer, or None if not measured."""
        known = self._log_duration
        return None if known is None else math.exp(known)

    def get_slots(self, slots: int, now_s: float) -> int:
        """Return the usable slots, which grow during the warm-up.

        An upstream that has just started has empty caches and is slow under
        full load.
        """
        warm_share = (now_s - self._warm_since_s) / _WARM_UP_S
        return max(1, int(slots * min(1, _COLD_SLOT_SHARE + warm_share)))

    def may_probe(self, now_s: float, *, is_repeatable: bool) -> bool:
        """Return whether a request may probe if the upstream has recovered."""
        if self._ejected_until_s is None:
            return False
        delay_s = 0 if is_repeatable else _REPEATABLE_PROBES_ONLY_S
        return now_s >= self._ejected_until_s + delay_s

    def record_answer(self, started_s: float, now_s: float) -> None:
        """Record an answer; the answer to a probe ends the ejection."""
        if self._started_before_ejection(started_s):
            return
        if self.is_ejected:
            self._ejected_until_s = None
            self._failure_rate = 0
            self._warm_since_s = now_s
            self._log_duration = None
            self._samples = 0
        self._failure_rate *= 1 - _FAILURE_WEIGHT
        self._record_duration(now_s - started_s)
        if self._samples > _RECOVERED_SAMPLES:
            self._ejection_count = 0

    def record_failure(
        self,
        started_s: float,
        now_s: float,
        random: Random,
    ) -> None:
        """Record a failure; too many eject the upstream."""
        if self._started_before_ejection(started_s):
            return
        self._failure_rate += _FAILURE_WEIGHT * (1 - self._failure_rate)
        if self.is_ejected or self._failure_rate > _EJECTION_FAILURE_RATE:
            self.eject(now_s, random)

    def is_slow(self, typical_s: float) -> bool:
        """Return whether answers take much longer than is typical."""
        return (
            self._samples >= _MIN_SLOW_SAMPLES
            and (self.duration_s or 0) > _SLOW_FACTOR * typical_s
        )

    def eject(self, now_s: float, random: Random) -> None:
        """Eject the upstream, each time for longer.

        The jitter keeps the entries from probing a recovering upstream all at
        once.
        """
        ejection_s = min(
            _INITIAL_EJECTION_S * 2**self._ejection_count, _MAX_EJECTION_S
        )
        jitter = 1 + random.uniform(-_EJECTION_JITTER, _EJECTION_JITTER)
        self._ejected_since_s = now_s
        self._ejected_until_s = now_s + ejection_s * jitter
        # Bounded, so that the power stays a valid float in a pool that fails
        # for hours.
        self._ejection_count = min(self._ejection_count + 1, _MAX_DOUBLINGS)

    def _started_before_ejection(self, started_s: float) -> bool:
        # Attempts that started before the ejection are ignored: a late answer
        # must not end it, nor must a burst of failures prolong it repeatedly.
        return self.is_ejected and started_s <= self._ejected_since_s

    def _record_duration(self, duration_s: float) -> None:
        log_duration = math.log(max(duration_s, _MIN_DURATION_S))
        self._samples += 1
        if self._log_duration is None:
            self._log_duration = log_duration
        else:
            self._log_duration += _DURATION_WEIGHT * (
                log_duration - self._log_duration
            )


def get_typical_s(healths: list[UpstreamHealth]) -> float | None:
    """Return the median of the upstreams' mean durations."""
    known = [one.duration_s for one in healths if one.duration_s is not None]
    return median(known) if known else None
