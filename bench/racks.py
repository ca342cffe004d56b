"""Simulated days on which a rack loses power, with and without suspicion.

All variants simulate the same days, so that differences can be paired by seed.
"""

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from statistics import fmean
from types import MappingProxyType

from sardinemast.dispatch import DispatchSettings, FailureDomainPolicy
from sardinemast.model import (
    ENROLMENT_DAY,
    REGISTRY_DAY,
    WIDE_STEPS_DAY,
    DayResults,
    Disruption,
    FleetSimulation,
)

_SEEDS = int(os.environ.get('SEEDS', '8'))
_PROCESSES = 2
_DAYS = MappingProxyType(
    {
        'registry': REGISTRY_DAY,
        'wide steps': WIDE_STEPS_DAY,
        'enrolment': ENROLMENT_DAY,
    },
)
_VARIANTS = MappingProxyType(
    {
        'without': DispatchSettings(),
        'with': DispatchSettings(
            failure_domains=FailureDomainPolicy(enabled=True),
        ),
    },
)
_LINE = (
    '{day:10} {disruption:19} {variant:8} on time {on_time:.4f}'
    ' queue {queue:.3f} team {team:.3f} serving {serving:.4f}'
    ' starts on lost {starts:.1f} recovery {recovery:.2f} s'
    ' lost core-s {lost:.0f} worker-s {worker_s:.0f} moves {moves:.1f}\n'
)


def main() -> None:
    """Print the means of each kind of day and disruption."""
    disruptions = [*_select_disruptions(), None]
    with ProcessPoolExecutor(_PROCESSES) as pool:
        for day in _select_days():
            for disruption in disruptions:
                for variant in _VARIANTS:
                    results = pool.map(
                        _simulate,
                        [
                            (day, disruption, variant, seed)
                            for seed in range(_SEEDS)
                        ],
                    )
                    _print_means(day, disruption, variant, list(results))


def _select_days() -> list[str]:
    wanted = os.environ.get('DAYS', ','.join(_DAYS)).split(',')
    return [name for name in _DAYS if name in wanted]


def _select_disruptions() -> list[Disruption]:
    wanted = os.environ.get('DISRUPTIONS', ','.join(Disruption)).split(',')
    return [one for one in Disruption if one.value in wanted]


def _simulate(run: tuple[str, Disruption | None, str, int]) -> DayResults:
    day, disruption, variant, seed = run
    disruptions = frozenset((disruption,)) if disruption else frozenset()
    pattern = _DAYS[day]._replace(disruptions=disruptions)
    return FleetSimulation(pattern, _VARIANTS[variant], seed).run()


def _print_means(
    day: str,
    disruption: Disruption | None,
    variant: str,
    results: list[DayResults],
) -> None:
    sys.stdout.write(
        _LINE.format(
            day=day,
            disruption=disruption.value if disruption else 'none',
            variant=variant,
            on_time=fmean(one.on_time for one in results),
            queue=fmean(one.worst_queue for one in results),
            team=fmean(one.worst_team for one in results),
            serving=fmean(one.long_running_availability for one in results),
            starts=fmean(one.lost_rack_starts for one in results),
            recovery=fmean(one.rack_recovery_s for one in results),
            lost=fmean(one.lost_core_s for one in results),
            worker_s=fmean(one.worker_seconds for one in results),
            moves=fmean(one.moves for one in results),
        ),
    )
    sys.stdout.flush()


if __name__ == '__main__':
    main()
