"""Moves between pools whose peaks come in turns.

Each pool asks five times its mean for a while, then a twentieth. Compared are
no moves, moves by threshold, and moves by forecast, on one course of demand.
"""

import sys
from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from sardinemast import maintenance

_DRAIN_S = 20
_PROOF_S = 10
_SECONDS = 6000
_THRESHOLD = 0.8


class Size(NamedTuple):
    """Name a fleet, its pools and how long one peak lasts."""

    name: str
    pools: int
    per_pool: int
    peak_s: int


class Measured(NamedTuple):
    """Hold what the moves brought and cost."""

    unmet_s: float
    idle_s: float
    moves: int


_Choose = Callable[
    [maintenance.MaintenanceState, dict[str, float], int],
    tuple[maintenance.commands.StepStart, ...],
]


def main() -> None:
    """Print unmet and idle instance-seconds and moves."""
    for size in (
        Size('Kerlann', 5, 8, 600),
        Size('Atlas', 5, 8, 300),
        Size('target', 45, 42, 600),
    ):
        seconds = _SECONDS if size.pools < 40 else _SECONDS // 6
        _tell(f'{size.name}: {size.pools} pools, peaks of {size.peak_s} s')
        for name, choose in (
            ('no moves', _choose_none),
            ('threshold', _choose_by_threshold),
            ('forecast', _make_forecast()),
        ):
            measured = _run(size, choose, seconds)
            _tell(
                f'  {name:<10} unmet {measured.unmet_s:>8.0f} instance-s, '
                f'idle {measured.idle_s:>9.0f} instance-s, '
                f'moves {measured.moves}',
            )


def _run(size: Size, choose: _Choose, seconds: int) -> Measured:
    run = _Run(size)
    demand = _Demand(size)
    for now_s in range(seconds):
        run.live(demand.get(now_s), choose, now_s)
    return run.measured


class _Run:
    """Hold a fleet whose moves take their time."""

    def __init__(self, size: Size) -> None:
        self.measured = Measured(0, 0, 0)
        self._state = _make_state(size)
        self._due: dict[str, int] = {}
        self._index = 10_000

    def live(
        self,
        wanted: dict[str, float],
        choose: _Choose,
        now_s: int,
    ) -> None:
        """Let a second pass."""
        starts = choose(self._state, wanted, now_s)
        self._commit(maintenance.commands.StartSteps(starts, now_s))
        for command in _iterate_due(self._state, self._due, now_s):
            self._commit(command)
        serving = _count_serving(self._state)
        lacks = [need - serving.get(pool, 0) for pool, need in wanted.items()]
        moving = maintenance.Condition.moving
        begun = {start.instance for start in starts}
        self.measured = Measured(
            self.measured.unmet_s + sum(max(0, lack) for lack in lacks),
            self.measured.idle_s - sum(min(0, lack) for lack in lacks),
            self.measured.moves
            + sum(
                self._state.instances[name].condition is moving
                for name in begun
            ),
        )

    def _commit(self, command: maintenance.Command) -> None:
        self._index += 1
        maintenance.apply_command(self._state, command, self._index)


class _Demand:
    """Hold the course of demand, the same for each way."""

    def __init__(self, size: Size) -> None:
        self._size = size
        self._random = Random(3)

    def get(self, now_s: int) -> dict[str, float]:
        """Give what each pool needs, in instances."""
        mean = self._size.per_pool * 0.4
        turn = now_s / self._size.peak_s
        wanted = {}
        for number in range(self._size.pools):
            # Of five pools in a row one has its peak.
            into = (turn - number) % 5
            factor = 5.0 if into < 1 else 0.05
            if into * 10 < 1:
                factor = 0.05 + into * 49.5
            noise = self._random.uniform(0.9, 1.1)
            wanted[f'pool-{number}'] = mean * factor * noise
        return wanted


def _make_state(size: Size) -> maintenance.MaintenanceState:
    state = maintenance.MaintenanceState(
        maintenance.Budgets(
            tuple(
                maintenance.PoolBudget(
                    f'pool-{number}',
                    down_max=size.per_pool // 2,
                    serving_min=1,
                )
                for number in range(size.pools)
            ),
            (),
            'pool-0',
        ),
    )
    for number in range(size.pools * size.per_pool):
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
    due: dict[str, int],
    now_s: int,
) -> Iterator[maintenance.Command]:
    for instance in tuple(state.instances.values()):
        if instance.condition is maintenance.Condition.moving:
            if now_s >= due.setdefault(instance.name, now_s + _DRAIN_S):
                due[instance.name] = now_s + _PROOF_S
                yield maintenance.commands.JoinPool(
                    instance.name,
                    instance.changed_index,
                )
        elif instance.condition is maintenance.Condition.proving:
            if now_s >= due[instance.name]:
                due.pop(instance.name)
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
    wanted: dict[str, float],
    now_s: int,
) -> tuple[maintenance.commands.StepStart, ...]:
    return ()


def _choose_by_threshold(
    state: maintenance.MaintenanceState,
    wanted: dict[str, float],
    now_s: int,
) -> tuple[maintenance.commands.StepStart, ...]:
    """Move one from the least used pool to the most used, past 0.8."""
    serving = _count_serving(state)
    used = {pool: wanted[pool] / serving.get(pool, 0.1) for pool in wanted}
    target = max(used, key=used.__getitem__)
    giver = min(used, key=used.__getitem__)
    if used[target] <= _THRESHOLD:
        return ()
    for instance in state.instances.values():
        if instance.pool != giver:
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


def _make_forecast() -> _Choose:
    planner = maintenance.MovePlanner()

    def choose(
        state: maintenance.MaintenanceState,
        wanted: dict[str, float],
        now_s: int,
    ) -> tuple[maintenance.commands.StepStart, ...]:
        planner.take(
            tuple(
                maintenance.PoolDemand(pool, need)
                for pool, need in wanted.items()
            ),
            now_s,
        )
        return planner.choose(state, now_s)

    return choose


def _tell(line: str) -> None:
    sys.stdout.write(f'{line}\n')
