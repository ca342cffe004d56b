"""Weighted max-min fairness."""

from collections.abc import Mapping


def split_max_min(
    capacity: float,
    wanted: Mapping[str, float],
    weights: Mapping[str, float],
) -> dict[str, float]:
    """Return each team's weighted max-min share, at most its demand."""
    allocations: dict[str, float] = {}
    remaining = capacity
    by_relative_demand = sorted(
        wanted, key=lambda team: wanted[team] / weights[team]
    )
    remaining_weight = sum(weights.values())
    for team in by_relative_demand:
        allocations[team] = min(
            wanted[team], remaining * weights[team] / remaining_weight
        )
        remaining -= allocations[team]
        remaining_weight -= weights[team]
    return allocations
