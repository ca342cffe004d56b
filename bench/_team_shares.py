"""Distance of teams' running tasks from their shares, at the dispatcher.

Six teams of the sizes 4, 4, 2, 1, 1 and 1 use a pool of 320 cores, in turns at
five times their usual load. Ten times a second each team is due its weighted
max-min share of the pool, by its tasks waiting and running.
"""

import sys
from collections import defaultdict
from collections.abc import Iterator
from statistics import fmean

from sardinemast.dispatch import DispatchSettings, PoolPolicy, TeamShares
from sardinemast.max_min import split_max_min
from sardinemast.model import (
    DayPattern,
    Distribution,
    FleetSimulation,
    LoadBurst,
    Period,
    QueuePattern,
)

_WEIGHTS = (4, 4, 2, 1, 1, 1)
_TEAMS = tuple(f'team-{index}' for index in range(len(_WEIGHTS)))
_WORKERS = 5
_CORES = 64
_CAPACITY = _WORKERS * _CORES * 1000
_DURATION_S = 120.0
_PEAK_S = 10.0
_PEAK_FACTOR = 5.0
_SAMPLE_S = 0.1
_WINDOWS_S = (1, 60)
# Windows in which a team is due less than a core are left out.
_MIN_DUE = 1000
_QUEUE = QueuePattern(
    'queue',
    # Tasks take 12.8 core seconds for each job, so 25 jobs/s fill the pool.
    jobs_per_s=17.5,
    task_duration_s=Distribution(0.8, 0.5),
    step_count=Distribution(1),
    task_count=Distribution(2),
    task_cores=Distribution(8),
    target_ms=8000,
    stretch=0,
    long_running_count=0,
    best_effort_count=0,
    worker_count=_WORKERS,
)
_DAY = DayPattern(
    (_QUEUE,),
    duration_s=_DURATION_S,
    peak_interval_s=_PEAK_S,
    peak_duration_s=_PEAK_S,
    off_peak_ratio=0,
    has_square_peaks=True,
    standby_count=0,
    worker_cores=_CORES,
    worker_memory_mib=262_144,
    team_weights=_WEIGHTS,
    # A team's usual load is 1.3 jobs/s for each unit of its weight.
    team_rate_factor=1.5,
    bursts=tuple(
        LoadBurst(
            Period(turn * _PEAK_S, (turn + 1) * _PEAK_S),
            _PEAK_FACTOR,
            turn % len(_WEIGHTS),
        )
        for turn in range(round(_DURATION_S / _PEAK_S))
    ),
)

_Samples = dict[str, list[float]]


def main() -> None:
    """Print the distances with team shares and in order of deadlines."""
    sys.stdout.write(
        'at the dispatcher\norder        window_s  mean  worst team  use\n'
    )
    for name, is_enabled in (('fair', True), ('first come', False)):
        for line in _iterate_lines(name, is_enabled=is_enabled):
            sys.stdout.write(line)


def _iterate_lines(name: str, *, is_enabled: bool) -> Iterator[str]:
    received, due = _simulate(is_enabled=is_enabled)
    usage = _sum_all(received) / _sum_all(due)
    for window_s in _WINDOWS_S:
        distances = [
            _get_distance(received[team], due[team], window_s)
            for team in _TEAMS
        ]
        yield (
            f'{name:12} {window_s:8} {fmean(distances):6.1%} '
            f'{max(distances):8.1%} {usage:8.1%}\n'
        )


def _simulate(*, is_enabled: bool) -> tuple[_Samples, _Samples]:
    """Return the received and due millicores of each team, by sample."""
    settings = DispatchSettings(
        pools=PoolPolicy(opening_share=1),
        team_shares=TeamShares(is_enabled),
    )
    simulation = FleetSimulation(_DAY, settings, 1)
    received: _Samples = defaultdict(list)
    due: _Samples = defaultdict(list)

    def sample() -> None:
        state = simulation.state
        used = state.usage.by_queue[_QUEUE.name]
        wanted: dict[str, float] = {team: used[team] for team in _TEAMS}
        for step in state.ready.values():
            demand = len(step.waiting) * step.spec.size.millicores
            wanted[state.get_job(step).team] += demand
        weights = dict(zip(_TEAMS, _WEIGHTS, strict=True))
        shares = split_max_min(_CAPACITY, wanted, weights)
        for team in _TEAMS:
            received[team].append(used[team])
            due[team].append(shares[team])

    for number in range(round(_DURATION_S / _SAMPLE_S)):
        simulation.clock.call_at(number * _SAMPLE_S, sample)
    simulation.run()
    return received, due


def _sum_all(samples: _Samples) -> float:
    return sum(map(sum, samples.values()))


def _get_distance(
    received: list[float], due: list[float], window_s: int
) -> float:
    """Return the mean distance over windows, relative to what is due."""
    count = round(window_s / _SAMPLE_S)
    distances = []
    for start in range(0, len(due), count):
        window = slice(start, start + count)
        due_mean = fmean(due[window])
        if due_mean >= _MIN_DUE:
            distances.append(abs(fmean(received[window]) - due_mean) / due_mean)
    return fmean(distances)
