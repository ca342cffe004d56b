"""Value of each policy of the leader: simulated days with and without it.

All variants simulate the same days, so that differences can be paired by seed.
"""

import os
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from statistics import fmean, stdev
from types import MappingProxyType
from typing import Any, NamedTuple
from unittest.mock import patch

from sardinemast.dispatch import DispatchSettings, PoolPolicy
from sardinemast.dispatch._peaks import PeakTracker
from sardinemast.dispatch._stragglers import StragglerDetector
from sardinemast.model import (
    REGISTRY_DAY,
    DayResults,
    Disruption,
    FleetSimulation,
    ScoreWeights,
)

_SEEDS = 24
# Half-width of a 95 % confidence interval, in standard errors.
_CONFIDENCE = 1.96
_WEIGHTS = ScoreWeights()
_MIXED_DISRUPTIONS = frozenset(
    (
        Disruption.wave,
        Disruption.rack_power_lost,
        Disruption.workers_slow,
        Disruption.control_restarted,
    ),
)
_DAYS = MappingProxyType(
    {
        'quiet': REGISTRY_DAY,
        'workers slow': REGISTRY_DAY._replace(
            disruptions=frozenset((Disruption.workers_slow,)),
        ),
        'mix': REGISTRY_DAY._replace(disruptions=_MIXED_DISRUPTIONS),
    },
)


class Variant(NamedTuple):
    """Describe policies by settings and a function to replace."""

    name: str
    settings: DispatchSettings = DispatchSettings()
    owner: Any = None
    function: str = ''
    replacement: Callable[..., Any] | None = None


def _vary_pools(name: str, pools: PoolPolicy) -> Variant:
    return Variant(name, DispatchSettings(pools=pools))


def _do_nothing(*arguments: object) -> None:
    """Do nothing."""


def _return_infinity(*arguments: object) -> float:
    return float('inf')


VARIANTS = (
    Variant('as it is'),
    _vary_pools(
        'all workers before the first peak', PoolPolicy(opening_share=1)
    ),
    _vary_pools(
        'a quarter before the first peak', PoolPolicy(opening_share=0.25)
    ),
    _vary_pools('room for 1.3 times in a peak', PoolPolicy(rise_factor=1.3)),
    _vary_pools('room for what is asked in a peak', PoolPolicy(rise_factor=1)),
    _vary_pools('any number of workers in a peak', PoolPolicy(most_factor=9)),
    _vary_pools('no spare worker between peaks', PoolPolicy(calm_spare=0)),
    _vary_pools('calm room for what runs', PoolPolicy(calm_factor=1)),
    _vary_pools('help at any lack of room', PoolPolicy(short_share=0)),
    _vary_pools('idle for 3 s before a move', PoolPolicy(idle_s=3)),
    Variant(
        'neither opening share nor forecast',
        owner=PeakTracker,
        function='get_next_start_s',
        replacement=_return_infinity,
    ),
    Variant(
        'no stragglers found',
        owner=StragglerDetector,
        function='stop_stragglers',
        replacement=_do_nothing,
    ),
)


def main() -> None:
    """Print the effect of each variant on each kind of day."""
    with ProcessPoolExecutor(max((os.cpu_count() or 2) // 2, 1)) as pool:
        for day in _DAYS:
            sys.stdout.write(f'{day}, {_SEEDS} seeds\n')
            runs = {
                variant.name: [
                    pool.submit(simulate, variant, day, seed)
                    for seed in range(_SEEDS)
                ]
                for variant in VARIANTS
            }
            results = {
                name: [future.result() for future in futures]
                for name, futures in runs.items()
            }
            sys.stdout.writelines(_iterate_lines(results))


def simulate(variant: Variant, day: str, seed: int) -> DayResults:
    """Simulate a day, with the variant's function replaced meanwhile."""
    with ExitStack() as stack:
        if variant.owner is not None:
            stack.enter_context(
                patch.object(
                    variant.owner,
                    variant.function,
                    variant.replacement,
                ),
            )
        return FleetSimulation(_DAYS[day], variant.settings, seed).run()


def _iterate_lines(results: dict[str, list[DayResults]]) -> Iterator[str]:
    base_scores = [
        one.compute_score(_WEIGHTS) for one in results[VARIANTS[0].name]
    ]
    for name, days in results.items():
        scores = [one.compute_score(_WEIGHTS) for one in days]
        differences = [
            score - base_score
            for score, base_score in zip(scores, base_scores, strict=True)
        ]
        margin = _CONFIDENCE * stdev(differences) / len(differences) ** 0.5
        yield (
            f'  {name:34} worth {fmean(scores):.3f}'
            f' ({fmean(differences):+.3f} +-{margin:.3f})'
            f' on time {_get_mean(days, "on_time"):.3f}'
            f' queue {_get_mean(days, "worst_queue"):.3f}'
            f' team {_get_mean(days, "worst_team"):.3f}'
            f' span {_get_mean(days, "worst_interval"):.3f}'
            f' worker-s {_get_mean(days, "worker_seconds"):.0f}'
            f' moves {_get_mean(days, "moves"):.0f}\n'
        )


def _get_mean(days: list[DayResults], field: str) -> float:
    return fmean(getattr(one, field) for one in days)
