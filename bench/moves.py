"""Moves between pools that peak in turns.

Each pool needs five times its mean for some time, then a twentieth. Compares
no moves, moves by threshold and moves by forecast for the same demand.
"""

import sys
from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from sardinemast import maintenance

_DRAIN_S = 20
_PROVING_S = 10
_SECONDS = 6000
_THRESHOLD = 0.8


class FleetSize(NamedTuple):
    """Describe a fleet by its pools and the duration of a peak."""

    name: str
    pools: int
    instances_per_pool: int
    peak_duration_s: int


class Measured(NamedTuple):
    """Hold unmet demand, idle time and the number of moves."""

    unmet_s: float
    idle_s: float
    moves: int


_ChooseMoves = Callable[
    [maintenance.MaintenanceState, dict[str, float], int],
    tuple[maintenance.commands.StepStart, ...],
]


def main() -> None:
    """Print unmet and idle instance-seconds and moves."""
    for size in (
        FleetSize('Kerlann', 5, 8, 600),
        FleetSize('Atlas', 5, 8, 300),
        FleetSize('target', 45, 42, 600),
    ):
        seconds = _SECONDS if size.pools < 40 else _SECONDS // 6
        _write_line(
            f'{size.name}: {size.pools} pools, '
            f'peaks of {size.peak_duration_s} s'
        )
        for name, choose in (
            ('no moves', _choose_none),
            ('threshold', _choose_by_threshold),
            ('forecast', _make_forecast_policy()),
        ):
            measured = _run(size, choose, seconds)
            _write_line(
                f'  {name:<10} unmet {measured.unmet_s:>8.0f} instance-s, '
                f'idle {measured.idle_s:>9.0f} instance-s, '
                f'moves {measured.moves}',
            )


def _run(size: FleetSize, choose: _ChooseMoves, seconds: int) -> Measured:
    run = _FleetSimulation(size)
    demand = _DemandCurve(size)
    for now_s in range(seconds):
        run.advance(demand.get(now_s), choose, now_s)
    return run.measured


class _FleetSimulation:
    """Simulate a fleet in which moves take time."""

    def __init__(self, size: FleetSize) -> None:
        self.measured = Measured(0, 0, 0)
        self._state = _make_state(size)
        self._due_s: dict[str, int] = {}
        self._index = 10_000

    def advance(
        self,
        demand: dict[str, float],
        choose: _ChooseMoves,
        now_s: int,
    ) -> None:
        """Advance by a second."""
        starts = choose(self._state, demand, now_s)
        self._commit(maintenance.commands.StartSteps(starts, now_s))
        for command in _iterate_due(self._state, self._due_s, now_s):
            self._commit(command)
        serving = _count_serving(self._state)
        shortfalls = [
            needed - serving.get(pool, 0) for pool, needed in demand.items()
        ]
        moving = maintenance.Condition.moving
        started = {start.instance for start in starts}
        self.measured = Measured(
            self.measured.unmet_s
            + sum(max(0, shortfall) for shortfall in shortfalls),
            self.measured.idle_s
            - sum(min(0, shortfall) for shortfall in shortfalls),
            self.measured.moves
            + sum(
                self._state.instances[name].condition is moving
                for name in started
            ),
        )

    def _commit(self, command: maintenance.Command) -> None:
        self._index += 1
        maintenance.apply_command(self._state, command, self._index)


class _DemandCurve:
    """Generate the demand, the same for each policy."""

    def __init__(self, size: FleetSize) -> None:
        self._size = size
        self._random = Random(3)

    def get(self, now_s: int) -> dict[str, float]:
        """Return the number of instances that each pool needs."""
        mean = self._size.instances_per_pool * 0.4
        position = now_s / self._size.peak_duration_s
        demand = {}
        for number in range(self._size.pools):
            # One of five consecutive pools is at its peak.
            phase = (position - number) % 5
            factor = 5.0 if phase < 1 else 0.05
            if phase * 10 < 1:
                factor = 0.05 + phase * 49.5
            noise = self._random.uniform(0.9, 1.1)
            demand[f'pool-{number}'] = mean * factor * noise
        return demand


def _make_state(size: FleetSize) -> maintenance.MaintenanceState:
    state = maintenance.MaintenanceState(
        maintenance.Budgets(
            tuple(
                maintenance.PoolBudget(
                    f'pool-{number}',
                    down_max=size.instances_per_pool // 2,
                    serving_min=1,
                )
                for number in range(size.pools)
            ),
            (),
            'pool-0',
        ),
    )
    for number in range(size.pools * size.instances_per_pool):
        state.put(
            maintenance.Instance(
                f'instance-{number}',
                'region',
                f'centre-{number % 4}',
                f'rack-{number // 16}',
                f'pool-{number % size.pools}',
                maintenance.Condition.serving,
                number,
                1,
            ),
        )
    return state


def _iterate_due(
    state: maintenance.MaintenanceState,
    due_s: dict[str, int],
    now_s: int,
) -> Iterator[maintenance.Command]:
    for instance in tuple(state.instances.values()):
        if instance.condition is maintenance.Condition.moving:
            if now_s >= due_s.setdefault(instance.name, now_s + _DRAIN_S):
                due_s[instance.name] = now_s + _PROVING_S
                yield maintenance.commands.JoinPool(
                    instance.name,
                    instance.changed_index,
                )
        elif instance.condition is maintenance.Condition.proving:
            if now_s >= due_s[instance.name]:
                due_s.pop(instance.name)
                change = maintenance.commands.ConditionChange(
                    instance.name,
                    instance.changed_index,
                    maintenance.Condition.serving,
                )
                yield maintenance.commands.ChangeConditions((change,), now_s)


def _count_serving(state: maintenance.MaintenanceState) -> dict[str, int]:
    serving: dict[str, int] = {}
    for instance in state.instances.values():
        if instance.condition is maintenance.Condition.serving:
            serving[instance.pool] = serving.get(instance.pool, 0) + 1
    return serving


def _choose_none(
    state: maintenance.MaintenanceState,
    demand: dict[str, float],
    now_s: int,
) -> tuple[maintenance.commands.StepStart, ...]:
    return ()


def _choose_by_threshold(
    state: maintenance.MaintenanceState,
    demand: dict[str, float],
    now_s: int,
) -> tuple[maintenance.commands.StepStart, ...]:
    """Move one instance from the least to the most used pool."""
    serving = _count_serving(state)
    usage = {pool: demand[pool] / serving.get(pool, 0.1) for pool in demand}
    target = max(usage, key=usage.__getitem__)
    source = min(usage, key=usage.__getitem__)
    if usage[target] <= _THRESHOLD:
        return ()
    for instance in state.instances.values():
        if instance.pool != source:
            continue
        if instance.condition is maintenance.Condition.serving:
            return (
                maintenance.commands.StepStart(
                    instance.name,
                    instance.changed_index,
                    maintenance.StepKind.move,
                    target_pool=target,
                ),
            )
    return ()


def _make_forecast_policy() -> _ChooseMoves:
    planner = maintenance.MovePlanner()

    def choose(
        state: maintenance.MaintenanceState,
        demand: dict[str, float],
        now_s: int,
    ) -> tuple[maintenance.commands.StepStart, ...]:
        planner.take(
            tuple(
                maintenance.PoolDemand(pool, needed)
                for pool, needed in demand.items()
            ),
            now_s,
        )
        return planner.choose(state, now_s)

    return choose


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
