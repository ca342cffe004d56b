"""Random times at which the jobs of a queue arrive."""

from __future__ import annotations

import math
from collections.abc import Iterator
from random import Random
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sardinemast.model._workload import DayPattern, QueuePattern


class Period(NamedTuple):
    """Hold the start and end of a part of a day."""

    start_s: float
    end_s: float


def draw_times(
    day: DayPattern,
    queue: QueuePattern,
    peak_at_s: float,
    rng: Random,
    *,
    period: Period | None = None,
    scale: float = 1,
) -> Iterator[float]:
    """Yield the times of a Poisson process with the queue's changing rate.

    The rate is multiplied by ``scale``. The period defaults to the whole day.
    """
    cycle_s = day.peak_interval_s * len(day.queues)
    # The maximum of a raised cosine is twice its mean.
    max_to_mean = 1 if day.has_square_peaks else 2
    max_rate = max_to_mean * queue.jobs_per_s * cycle_s / day.peak_duration_s
    now_s, end_s = period or Period(0, day.duration_s)
    # Thinning of a Poisson process with the maximum rate.
    while True:
        now_s += rng.expovariate(max_rate * scale)
        if now_s >= end_s:
            return
        since_s = (now_s - peak_at_s) % cycle_s
        rate = queue.jobs_per_s * day.off_peak_ratio
        if since_s < day.peak_duration_s:
            angle = 2 * math.pi * since_s / day.peak_duration_s
            rate += (
                max_rate
                if day.has_square_peaks
                else max_rate * (1 - math.cos(angle)) / 2
            )
        if rng.random() < rate / max_rate:
            yield now_s
