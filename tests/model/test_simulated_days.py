"""Simulated days with the real dispatcher.

Four queues peak in turns, two with many short jobs and two with few long
ones. In its peak each queue needs more than the eight workers of its pool.
"""

from statistics import fmean

import pytest

from sardinemast.dispatch import DispatchSettings, PoolPolicy
from sardinemast.model import (
    REGISTRY_DAY,
    DayResults,
    Disruption,
    FleetSimulation,
)

_POLICY = PoolPolicy()
_SEEDS = range(4)
# Share of the value of all jobs that may be lost by late jobs.
_MAX_LATE_SHARE = 0.02
# Share that may be lost by starting the day with half of the workers.
_MAX_LOSS_SHARE = 0.01


def _run_day(
    seed: int,
    disruption: Disruption | None = None,
    pools: PoolPolicy = _POLICY,
) -> DayResults:
    disruptions = (
        frozenset() if disruption is None else frozenset((disruption,))
    )
    day = REGISTRY_DAY._replace(disruptions=disruptions)
    return FleetSimulation(day, DispatchSettings(pools=pools), seed).run()


def test_same_seed_gives_same_day() -> None:
    """Guard against days that can't be compared because they differ."""
    assert _run_day(3) == _run_day(3)
    assert _run_day(3) != _run_day(4)


def test_half_of_workers_meet_first_peak() -> None:
    """Guard against late jobs in the first peak of a pool.

    Until then a pool keeps half of its workers; more must come in time.
    """
    half = [_run_day(seed) for seed in _SEEDS]
    keep_all = PoolPolicy(opening_share=1)
    full = [_run_day(seed, pools=keep_all) for seed in _SEEDS]
    on_time = fmean(one.on_time for one in half)
    assert on_time >= 1 - _MAX_LATE_SHARE
    assert on_time >= fmean(one.on_time for one in full) - _MAX_LOSS_SHARE
    assert fmean(one.worker_seconds for one in half) < fmean(
        one.worker_seconds for one in full
    )


def test_restart_of_all_control_loses_no_job() -> None:
    """Guard against jobs lost or late when all control processes restart."""
    results = _run_day(1, Disruption.control_restarted)
    assert results.on_time >= 1 - 2 * _MAX_LATE_SHARE
    assert results.long_running_availability == pytest.approx(
        1, abs=_MAX_LOSS_SHARE
    )


def test_slow_workers_delay_few_jobs() -> None:
    """Guard against jobs made late by an eighth of the workers being slow."""
    results = _run_day(2, Disruption.workers_slow)
    assert results.on_time >= 1 - 2 * _MAX_LATE_SHARE
