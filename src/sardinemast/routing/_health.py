"""How each upstream has done lately, and whether it is set aside."""

import math
from random import Random
from statistics import median

_FAILURE_WEIGHT = 0.2
_DURATION_WEIGHT = 0.2
_EJECTION_FAILURE_RATE = 0.5
_SLOW_FACTOR = 5
_SLOW_SAMPLES = 5
_FORGIVEN_SAMPLES = 20
_SHORTEST_S = 0.0001
_FIRST_ASIDE_S = 1.0
_LONGEST_ASIDE_S = 30.0
_MOST_DOUBLINGS = 5
_JITTER = 0.2
# A request that may not be repeated is used as a probe only after this time,
# so that one that may be repeated goes first where there is any.
_SAFE_PROBES_ONLY_S = 5.0
_WARM_UP_S = 10.0
_COLD_SHARE = 0.25


class UpstreamHealth:
    """Follow one start of one upstream.

    The mean duration is a geometric one: a single long request among many
    short ones would otherwise make a good upstream look slow.
    """

    def __init__(self, warm_since_s: float) -> None:
        self._warm_since_s = warm_since_s
        self._log_duration: float | None = None
        self._samples = 0
        self._failure_rate: float = 0
        self._aside_since_s: float = 0
        self._aside_until_s: float | None = None
        self._aside_count = 0

    @property
    def is_ejected(self) -> bool:
        """Tell whether it gets probes only."""
        return self._aside_until_s is not None

    @property
    def duration_s(self) -> float | None:
        """Give the mean duration of an answer, where one is known."""
        known = self._log_duration
        return None if known is None else math.exp(known)

    def get_slots(self, slots: int, now_s: float) -> int:
        """Give the slots to use now: few at first, all when warm.

        An upstream that has just started has empty caches and would answer
        a full load late.
        """
        warmth = (now_s - self._warm_since_s) / _WARM_UP_S
        return max(1, int(slots * min(1, _COLD_SHARE + warmth)))

    def may_probe(self, now_s: float, *, is_repeatable: bool) -> bool:
        """Tell whether one request may try whether it has recovered."""
        if self._aside_until_s is None:
            return False
        delay_s = 0 if is_repeatable else _SAFE_PROBES_ONLY_S
        return now_s >= self._aside_until_s + delay_s

    def note_answer(self, started_s: float, now_s: float) -> None:
        """Note an answer; a probe's brings the upstream back, cold."""
        if self._is_before_aside(started_s):
            return
        if self.is_ejected:
            self._aside_until_s = None
            self._failure_rate = 0
            self._warm_since_s = now_s
            self._log_duration = None
            self._samples = 0
        self._failure_rate *= 1 - _FAILURE_WEIGHT
        self._note_duration(now_s - started_s)
        if self._samples > _FORGIVEN_SAMPLES:
            self._aside_count = 0

    def note_failure(
        self,
        started_s: float,
        now_s: float,
        random: Random,
    ) -> None:
        """Note a failure; too many set the upstream aside."""
        if self._is_before_aside(started_s):
            return
        self._failure_rate += _FAILURE_WEIGHT * (1 - self._failure_rate)
        if self.is_ejected or self._failure_rate > _EJECTION_FAILURE_RATE:
            self.eject(now_s, random)

    def is_slow(self, typical_s: float) -> bool:
        """Tell whether answers take many times what is typical."""
        return (
            self._samples >= _SLOW_SAMPLES
            and (self.duration_s or 0) > _SLOW_FACTOR * typical_s
        )

    def eject(self, now_s: float, random: Random) -> None:
        """Send it nothing for a while, longer each time.

        The jitter keeps entries from probing in step; a recovering upstream
        would otherwise get all probes at once and fail again.
        """
        aside_s = min(_FIRST_ASIDE_S * 2**self._aside_count, _LONGEST_ASIDE_S)
        jitter = 1 + random.uniform(-_JITTER, _JITTER)
        self._aside_since_s = now_s
        self._aside_until_s = now_s + aside_s * jitter
        # The bound keeps the power within what a float holds, in a pool that
        # fails for hours.
        self._aside_count = min(self._aside_count + 1, _MOST_DOUBLINGS)

    def _is_before_aside(self, started_s: float) -> bool:
        # What was under way when the upstream was set aside tells nothing
        # new: late answers would bring it back, and a burst of failures
        # would each make the time longer.
        return self.is_ejected and started_s <= self._aside_since_s

    def _note_duration(self, duration_s: float) -> None:
        fresh = math.log(max(duration_s, _SHORTEST_S))
        self._samples += 1
        if self._log_duration is None:
            self._log_duration = fresh
        else:
            self._log_duration += _DURATION_WEIGHT * (
                fresh - self._log_duration
            )


def get_typical_s(healths: list[UpstreamHealth]) -> float | None:
    """Give the median of the upstreams' mean durations."""
    known = [one.duration_s for one in healths if one.duration_s is not None]
    return median(known) if known else None
