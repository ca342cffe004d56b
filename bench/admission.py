"""Refusing jobs that cannot end in time, against accepting all of them.

Simulated days at one to five times the load: a queue whose rate is constant,
as a multiple of what its pool can carry, and a fleet whose four queues peak in
turns. Callers submit a refused job again when Retry-After says.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from statistics import fmean
from typing import NamedTuple

from sardinemast.dispatch import AdmissionPolicy, DispatchSettings
from sardinemast.model import (
    REGISTRY_DAY,
    DayPattern,
    DayResults,
    Distribution,
    FleetSimulation,
    QueuePattern,
)

_SEEDS = range(1, 5)
_PROCESSES = 2
_LOOKUPS = QueuePattern(
    'lookups',
    jobs_per_s=9,
    task_duration_s=Distribution(0.8, 0.5),
    step_count=Distribution(1.6, 0.4),
    task_count=Distribution(8, 0.6),
    task_cores=Distribution(6.2, 0.45),
    task_memory_mib=Distribution(13_000, 0.6),
    job_value=0.4,
    long_running_count=24,
    long_running_cores=9,
    long_running_memory_mib=58_000,
    long_running_max_unavailable=3,
    worker_count=32,
)
_BOOKINGS = _LOOKUPS._replace(
    name='bookings',
    jobs_per_s=1.8,
    task_duration_s=Distribution(1.7, 0.5),
    step_count=Distribution(2, 0.4),
    task_cores=Distribution(13, 0.45),
    task_memory_mib=Distribution(38_000, 0.6),
    job_value=2.2,
    worker_count=36,
)
_PEAKS = DayPattern(
    (
        _LOOKUPS,
        _BOOKINGS,
        _LOOKUPS._replace(name='quotes', jobs_per_s=11.2, worker_count=39),
        _BOOKINGS._replace(name='transfers', jobs_per_s=2.2, worker_count=43),
    ),
    peak_interval_s=4.5,
    peak_duration_s=4.5,
    has_square_peaks=True,
    standby_count=29,
    workers_per_rack=8,
    worker_cores=64,
    worker_memory_mib=262_144,
)
# About what eight workers of 16 cores carry beside their long-running tasks.
_CONSTANT = DayPattern(
    (REGISTRY_DAY.queues[0]._replace(jobs_per_s=14),),
    duration_s=10,
    peak_interval_s=5,
    peak_duration_s=5,
    has_square_peaks=True,
    standby_count=0,
)
# Peaks at more than the usual load take minutes if all jobs are accepted.
_DAYS = (('constant', _CONSTANT, (1, 2, 3, 5)), ('peaks', _PEAKS, (1,)))
_COLUMNS = (
    'on_time',
    'served',
    'ended_too_late',
    'worst_team',
    'worst_queue',
    'worst_interval',
    'largest_jobs',
    'refusals',
)


class _Variant(NamedTuple):
    """Describe an admission policy by name."""

    name: str
    policy: AdmissionPolicy


_VARIANTS = (
    _Variant('all accepted', AdmissionPolicy()),
    _Variant('margin 1.5', AdmissionPolicy(enabled=True)),
    _Variant('margin 1', AdmissionPolicy(enabled=True, margin=1)),
    _Variant('margin 0.67', AdmissionPolicy(enabled=True, margin=0.67)),
)


def main() -> None:
    """Print the results of each load and variant as means over seeds."""
    sys.stdout.write(
        'load                       on time    served  too late      team'
        '     queue       2 s   largest  refusals\n',
    )
    with ProcessPoolExecutor(_PROCESSES) as executor:
        for name, day, loads in _DAYS:
            for load in loads:
                for variant in _VARIANTS:
                    run = partial(simulate, day, load, variant.policy)
                    days = list(executor.map(run, _SEEDS))
                    _write_line(f'{name} {load}, {variant.name}', days)


def simulate(
    day: DayPattern, load: float, policy: AdmissionPolicy, seed: int
) -> DayResults:
    """Simulate a day at a multiple of its load."""
    queues = tuple(
        queue._replace(jobs_per_s=queue.jobs_per_s * load)
        for queue in day.queues
    )
    settings = DispatchSettings(admission=policy)
    return FleetSimulation(day._replace(queues=queues), settings, seed).run()


def _write_line(label: str, days: list[DayResults]) -> None:
    means = [fmean(getattr(one, field) for one in days) for field in _COLUMNS]
    figures = ''.join(f'{mean:10.3f}' for mean in means)
    sys.stdout.write(f'{label:24}{figures}\n')
    sys.stdout.flush()
