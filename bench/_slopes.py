"""Slopes of a cost over a size, with the spread over repeats."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

_REPEATS = 5


class Slope(NamedTuple):
    """Hold what one more of something costs.

    ``base`` is the cost at size zero by the fitted line; ``spread`` is half
    the distance between the largest and the smallest slope of the repeats.
    """

    base: float
    slope: float
    spread: float

    def predict(self, size: float) -> float:
        """Give the cost at a size."""
        return self.base + self.slope * size


def fit(sizes: Sequence[float], costs: Sequence[float]) -> tuple[float, float]:
    """Give base and slope of the straight line through the points."""
    line = statistics.linear_regression(sizes, costs)
    return line.intercept, line.slope


def measure_slope(
    sizes: Sequence[int],
    measure: Callable[[int], float],
    repeats: int = _REPEATS,
) -> Slope:
    """Measure at each size, several times over, and fit a line each time."""
    lines = [
        fit(sizes, [measure(size) for size in sizes]) for _ in range(repeats)
    ]
    slopes = [slope for _, slope in lines]
    return Slope(
        statistics.median(base for base, _ in lines),
        statistics.median(slopes),
        (max(slopes) - min(slopes)) / 2,
    )


def measure_cpu_s(action: Callable[[], Any], rounds: int) -> float:
    """Give the processor time of one round of the action."""
    gc.collect()
    started_s = time.process_time()
    for _ in range(rounds):
        action()
    return (time.process_time() - started_s) / rounds


def measure_memory_bytes(build: Callable[[], Any]) -> float:
    """Give the memory that what is built holds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return held_bytes
