"""What each policy of the leader is worth: modelled days with it and without.

Each variant plays the same days as the policies as they are, so that the
differences are taken in pairs. Troubles are those of `sardinemast.model`.
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
# Of a normal distribution, 95 in 100 lie within so many deviations.
_CONFIDENCE = 1.96
_WEIGHTS = ScoreWeights()
_MIX = frozenset(
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
        'mix': REGISTRY_DAY._replace(disruptions=_MIX),
    },
)


class Variant(NamedTuple):
    """Name a way to decide: settings, and what is switched off."""

    name: str
    settings: DispatchSettings = DispatchSettings()
    owner: Any = None
    function: str = ''
    stand_in: Callable[..., Any] | None = None


def _size(name: str, pools: PoolPolicy) -> Variant:
    return Variant(name, DispatchSettings(pools=pools))


def _ignore(*taken: object) -> None:
    """Do nothing."""


def _never(*taken: object) -> float:
    return float('inf')


VARIANTS = (
    Variant('as it is'),
    _size('all workers before the first peak', PoolPolicy(opening_share=1)),
    _size('a quarter before the first peak', PoolPolicy(opening_share=0.25)),
    _size('room for 1.3 times in a peak', PoolPolicy(rise_factor=1.3)),
    _size('room for what is asked in a peak', PoolPolicy(rise_factor=1)),
    _size('any number of workers in a peak', PoolPolicy(most_factor=9)),
    _size('no spare worker between peaks', PoolPolicy(calm_spare=0)),
    _size('calm room for what runs', PoolPolicy(calm_factor=1)),
    _size('help at any lack of room', PoolPolicy(short_share=0)),
    _size('idle for 3 s before a move', PoolPolicy(idle_s=3)),
    Variant(
        'neither opening share nor forecast',
        owner=PeakTracker,
        function='get_next_start_s',
        stand_in=_never,
    ),
    Variant(
        'no stragglers found',
        owner=StragglerDetector,
        function='stop_stragglers',
        stand_in=_ignore,
    ),
)


def main() -> None:
    """Print what each variant changes on each kind of day."""
    with ProcessPoolExecutor(max((os.cpu_count() or 2) // 2, 1)) as pool:
        for day in _DAYS:
            sys.stdout.write(f'{day}, {_SEEDS} seeds\n')
            runs = {
                variant.name: [
                    pool.submit(play, variant, day, seed)
                    for seed in range(_SEEDS)
                ]
                for variant in VARIANTS
            }
            figures = {
                name: [future.result() for future in futures]
                for name, futures in runs.items()
            }
            sys.stdout.writelines(_iterate_lines(figures))


def play(variant: Variant, day: str, seed: int) -> DayResults:
    """Play one day; what is switched off is so in this process alone."""
    with ExitStack() as stack:
        if variant.owner is not None:
            stack.enter_context(
                patch.object(
                    variant.owner,
                    variant.function,
                    variant.stand_in,
                ),
            )
        return FleetSimulation(_DAYS[day], variant.settings, seed).run()


def _iterate_lines(figures: dict[str, list[DayResults]]) -> Iterator[str]:
    base = [one.compute_score(_WEIGHTS) for one in figures[VARIANTS[0].name]]
    for name, days in figures.items():
        worths = [one.compute_score(_WEIGHTS) for one in days]
        differences = [
            worth - other for worth, other in zip(worths, base, strict=True)
        ]
        doubt = _CONFIDENCE * stdev(differences) / len(differences) ** 0.5
        yield (
            f'  {name:34} worth {fmean(worths):.3f}'
            f' ({fmean(differences):+.3f} +-{doubt:.3f})'
            f' on time {_mean(days, "on_time"):.3f}'
            f' queue {_mean(days, "worst_queue"):.3f}'
            f' team {_mean(days, "worst_team"):.3f}'
            f' span {_mean(days, "worst_interval"):.3f}'
            f' worker-s {_mean(days, "worker_seconds"):.0f}'
            f' moves {_mean(days, "moves"):.0f}\n'
        )


def _mean(days: list[DayResults], field: str) -> float:
    return fmean(getattr(one, field) for one in days)
