"""Linear fits of cost over size, with their spread over repeats."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

_REPEATS = 5


class Slope(NamedTuple):
    """Hold a linear fit of cost over size.

    ``base`` is the fitted cost at size zero, ``spread`` half the difference
    between the largest and the smallest slope of the repeats.
    """

    base: float
    slope: float
    spread: float

    def predict(self, size: float) -> float:
        """Return the fitted cost at a size."""
        return self.base + self.slope * size


def fit(sizes: Sequence[float], costs: Sequence[float]) -> tuple[float, float]:
    """Return base and slope of a linear regression."""
    line = statistics.linear_regression(sizes, costs)
    return line.intercept, line.slope


def measure_slope(
    sizes: Sequence[int],
    measure: Callable[[int], float],
    repeats: int = _REPEATS,
) -> Slope:
    """Measure all sizes repeatedly and return the median fit."""
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
    """Return the mean CPU time of an action."""
    gc.collect()
    started_s = time.process_time()
    for _ in range(rounds):
        action()
    return (time.process_time() - started_s) / rounds


def measure_memory_bytes(build: Callable[[], Any]) -> float:
    """Return the memory allocated by the object built."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return allocated_bytes
