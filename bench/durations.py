"""Simulated days with declared and with learned durations.

Prints, for each day, means over the seeds: the share of the attainable value
that was earned, in all, by the worst queue, team and interval and by the
largest jobs, the cost of workers and the core seconds of runs that were lost.
Each day is run as it is, with tails of 3% of the tasks at seven times their
duration, and with declared durations that are off by 0.9.
"""

import sys
from collections.abc import Mapping
from itertools import product
from multiprocessing import Pool
from statistics import fmean
from types import MappingProxyType
from typing import NamedTuple

from sardinemast.dispatch import DispatchSettings, LearningPolicy
from sardinemast.model import (
    ENROLMENT_DAY,
    REGISTRY_DAY,
    WIDE_STEPS_DAY,
    DayPattern,
    DayResults,
    Disruption,
    FleetSimulation,
    ScoreWeights,
)

_SEEDS = range(6)
# The days are independent, and each fills one processor core.
_PROCESSES = 2
_POLICIES = MappingProxyType(
    {
        'declared': LearningPolicy(),
        'learned': LearningPolicy(enabled=True),
        'learned, for order alone': LearningPolicy(
            enabled=True, deadline_ends=0
        ),
    }
)
_FIELDS = (
    'on_time',
    'worst_queue',
    'worst_team',
    'worst_interval',
    'largest_jobs',
)


class _Case(NamedTuple):
    """Identify a day under a policy."""

    day: str
    policy: str
    seed: int


def main() -> None:
    """Print the results of each day under each policy."""
    _write('day', 'durations', *_FIELDS, 'score', 'lost core s')
    with Pool(_PROCESSES) as pool:
        for day in _list_days():
            cases = [_Case(day, *case) for case in product(_POLICIES, _SEEDS)]
            results = pool.map(_run, cases, 1)
            for policy in _POLICIES:
                found = [
                    result
                    for case, result in zip(cases, results, strict=True)
                    if case.policy == policy
                ]
                _print_means(day, policy, found)


def _list_days() -> dict[str, DayPattern]:
    days = {
        'registry': REGISTRY_DAY,
        'enrolment': ENROLMENT_DAY,
        'wide steps': WIDE_STEPS_DAY,
    }
    slow = frozenset((Disruption.workers_slow,))
    return {
        **days,
        'registry, slow workers': REGISTRY_DAY._replace(disruptions=slow),
        **_change_days(days, 'tails', tail_share=0.03),
        **_change_days(days, 'off by 0.9', estimate_variation=0.9),
    }


def _change_days(
    days: Mapping[str, DayPattern], name: str, **changes: float
) -> dict[str, DayPattern]:
    return {
        f'{day}, {name}': _change_queues(pattern, **changes)
        for day, pattern in days.items()
    }


def _change_queues(day: DayPattern, **changes: float) -> DayPattern:
    queues = tuple(
        queue._replace(**changes)  # type: ignore[arg-type]
        for queue in day.queues
    )
    return day._replace(queues=queues)


def _run(case: _Case) -> DayResults:
    settings = DispatchSettings(learning=_POLICIES[case.policy])
    day = _list_days()[case.day]
    return FleetSimulation(day, settings, case.seed).run()


def _print_means(day: str, policy: str, found: list[DayResults]) -> None:
    shares = [
        f'{fmean(getattr(one, field) for one in found):.4f}'
        for field in _FIELDS
    ]
    score = fmean(one.compute_score(ScoreWeights()) for one in found)
    lost = fmean(one.lost_core_s for one in found)
    _write(day, policy, *shares, f'{score:.4f}', f'{lost:.1f}')


def _write(*cells: str) -> None:
    sys.stdout.write(f'| {" | ".join(cells)} |\n')
    sys.stdout.flush()
