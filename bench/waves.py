"""Maintenance waves in virtual time, against one instance at a time.

Kerlann's and Atlas's fleets have five pools of eight over four data centres;
the target is 1,890 workers in 45 pools.
"""

import sys
import tracemalloc
from collections.abc import Iterator
from time import process_time
from typing import NamedTuple

from sardinemast import maintenance

_WALL_CLOCK_S = 1_000_000.0
_REBOOT_S = 90
_MAX_DURATION_S = 7000
_GROWTH_S = 150
_DATA_CENTRES = 4
_INSTANCES_PER_RACK = 4


class FleetSize(NamedTuple):
    """Describe a fleet by its pools and how long a drain takes."""

    name: str
    pools: int
    instances_per_pool: int
    drain_s: int

    @property
    def workers(self) -> int:
        """Return the number of workers."""
        return self.pools * self.instances_per_pool


class Measured(NamedTuple):
    """Hold the duration and costs of a wave."""

    rollout_s: float
    idle_instance_s: float
    moves: int
    steps: int
    cpu_s: float
    plans: int
    memory_bytes: int


KERLANN = FleetSize('Kerlann', 5, 8, 20)
ATLAS = FleetSize('Atlas', 5, 8, 60)
SIZES = (
    FleetSize('40', 5, 8, 20),
    FleetSize('200', 10, 20, 20),
    FleetSize('800', 25, 32, 20),
    FleetSize('1890 (target)', 45, 42, 20),
)


def main() -> None:
    """Print roll-out time, downtime and CPU time of the leader."""
    for size in (KERLANN, ATLAS):
        _compare(size)
    _measure_growth()


def _compare(size: FleetSize) -> None:
    at_once = _Simulation(size, at_once=size.workers).run()
    single = _extrapolate(
        _Simulation(size, at_once=1).run(_MAX_DURATION_S), size
    )
    failing = _Simulation(size, at_once=size.workers, failure_period_s=240)
    _write_line(
        f'{size.name}: {size.workers} workers, {size.pools} pools, '
        f'drain {size.drain_s} s, reboot {_REBOOT_S} s',
    )
    for name, measured in (
        ('one at a time', single),
        ('budgets', at_once),
        ('budgets, a failure each 240 s', failing.run()),
    ):
        _write_line(
            f'  {name:<30} roll-out {measured.rollout_s:>8.0f} s '
            f'({measured.rollout_s / single.rollout_s:.3f}), down '
            f'{measured.idle_instance_s:>8.0f} instance-s '
            f'({measured.idle_instance_s / single.idle_instance_s:.3f}), '
            f'moves {measured.moves}, reboots {measured.steps}',
        )


def _extrapolate(measured: Measured, size: FleetSize) -> Measured:
    """Extrapolate a run that was stopped early to all workers."""
    if measured.steps >= size.workers:
        return measured
    factor = size.workers / measured.steps
    _write_line(f'  one at a time is stretched from {measured.steps} steps')
    return measured._replace(
        rollout_s=measured.rollout_s * factor,
        idle_instance_s=measured.idle_instance_s * factor,
        steps=size.workers,
    )


def _measure_growth() -> None:
    _write_line('Effort of the leader, one plan a second, during a wave')
    first: Measured | None = None
    for size in SIZES:
        measured = _Simulation(size, at_once=size.workers).run(_GROWTH_S)
        first = first or measured
        _write_line(f'  {size.name:<15} {_describe(size, measured, first)}')


def _describe(size: FleetSize, measured: Measured, first: Measured) -> str:
    traced = _Simulation(size, at_once=size.workers, is_traced=True).run(60)
    idle = _Simulation(size, at_once=0).run(20)
    per_plan_ms = measured.cpu_s / measured.plans * 1000
    growth = per_plan_ms / (first.cpu_s / first.plans * 1000)
    return (
        f'{per_plan_ms:7.3f} ms a plan = {per_plan_ms / 10:.3f}% of a core '
        f'({growth:.1f}x for {size.workers / SIZES[0].workers:.1f}x workers), '
        f'{measured.cpu_s / measured.steps * 1000:.2f} ms a step, '
        f'idle {idle.cpu_s / idle.plans * 100:.3f}% of a core, '
        f'memory {traced.memory_bytes / 1024:.0f} KiB'
    )


class _Simulation:
    """Simulate a leader, instances and entries that obey all orders."""

    def __init__(
        self,
        size: FleetSize,
        at_once: int,
        failure_period_s: int = 0,
        is_traced: bool = False,
    ) -> None:
        if is_traced:
            tracemalloc.start()
        self._is_traced = is_traced
        self._size = size
        self._failure_period_s = failure_period_s
        self.state = maintenance.MaintenanceState()
        self.core = maintenance.MaintenanceCore(lambda: self.state)
        self._index = 0
        self._now_s = 0
        self._up_at_s: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}
        self._entry_runs = [
            maintenance.EntryRun(f'entry-{number}', 1) for number in range(8)
        ]
        self._cpu_s: float = 0
        self._moves = 0
        self._steps = 0
        self._enrol_fleet()
        self._start_wave(at_once)

    def run(self, limit_s: int = _MAX_DURATION_S) -> Measured:
        """Run until the wave ends or the time limit."""
        down = 0
        start_s = self._now_s
        while self._is_running() and self._now_s - start_s < limit_s:
            self._advance()
            down += self._count_not_serving()
        memory_bytes = 0
        if self._is_traced:
            memory_bytes = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
        return Measured(
            self._now_s - start_s,
            down,
            self._moves,
            self._steps,
            self._cpu_s,
            self._now_s - start_s,
            memory_bytes,
        )

    def _is_running(self) -> bool:
        status = self.state.waves['wave'].status
        return status is not maintenance.WaveStatus.done

    def _count_not_serving(self) -> int:
        serving = maintenance.Condition.serving
        return sum(
            one.condition is not serving
            for one in self.state.instances.values()
        )

    def _enrol_fleet(self) -> None:
        pools = tuple(
            maintenance.PoolBudget(
                f'pool-{number}',
                down_max=self._size.instances_per_pool // 2,
                serving_min=self._size.instances_per_pool // 2 - 1,
                reserve=maintenance.DomainKind.rack,
            )
            for number in range(self._size.pools)
        )
        budgets = maintenance.Budgets(pools, (), 'pool-0')
        self._commit(maintenance.commands.SetBudgets('b', budgets))
        for pool in range(self._size.pools):
            for number in range(self._size.instances_per_pool):
                self._enrol_instance(pool, number)
        for run in self._entry_runs:
            self._commit(maintenance.commands.NoteEntry(run))

    def _enrol_instance(self, pool: int, number: int) -> None:
        name = f'pool-{pool}-{number}'
        centre = number % _DATA_CENTRES
        rack = number // _DATA_CENTRES // _INSTANCES_PER_RACK
        self._incarnations[name] = 1
        self._commit(
            maintenance.commands.EnrolInstance(
                name,
                'region',
                f'centre-{centre}',
                f'rack-{pool}-{rack}',
                f'pool-{pool}',
                _WALL_CLOCK_S,
            ),
        )

    def _start_wave(self, at_once: int) -> None:
        self.core.step(maintenance.TermStarted(), 0)
        while self._count_not_serving():
            self._advance()
        self._cpu_s = 0
        plan = maintenance.WavePlan(
            'wave',
            tuple(one.pool for one in self.state.budgets.pools),
            at_once=at_once,
            resume_after_s=60,
        )
        wall_s = _WALL_CLOCK_S + self._now_s
        self._commit(maintenance.commands.StartWave('w', plan, wall_s))

    def _advance(self) -> None:
        self._now_s += 1
        if self._failure_period_s and not self._now_s % self._failure_period_s:
            self._fail_instance()
        for event in self._get_events():
            started_s = process_time()
            outputs = self.core.step(event, self._now_s)
            for output in outputs:
                self._execute(output)
            self._cpu_s += process_time() - started_s

    def _fail_instance(self) -> None:
        names = sorted(self.state.instances)
        name = names[self._now_s * 7919 % len(names)]
        if self._up_at_s.get(name, 0) <= self._now_s:
            self._incarnations[name] += 1
            self._up_at_s[name] = self._now_s + _REBOOT_S

    def _get_events(self) -> Iterator[maintenance.Event]:
        yield maintenance.InstancesReported(
            tuple(
                maintenance.InstanceReported(
                    name,
                    self._incarnations[name],
                    known.pool,
                )
                for name, known in self.state.instances.items()
                if self._up_at_s.get(name, 0) <= self._now_s
            ),
        )
        busy = frozenset(
            one.name
            for one in self.state.get_stepping()
            if one.step
            and self._now_s < self._get_drain_start_s(one) + self._size.drain_s
        )
        for run in self._entry_runs:
            yield maintenance.DrainsReported(run, self._index, busy)
        yield maintenance.Tick(_WALL_CLOCK_S + self._now_s)

    def _get_drain_start_s(self, instance: maintenance.Instance) -> int:
        # Requests in flight last for the drain time after the step is seen.
        if instance.condition in maintenance.UNCUT and instance.step:
            key = f'{instance.name}:{instance.step.log_index}'
            return self._up_at_s.setdefault(key, self._now_s)
        return 0

    def _execute(self, output: maintenance.Output) -> None:
        if isinstance(output, maintenance.Propose):
            self._commit(output.command)
            joins_pool = isinstance(
                output.command, maintenance.commands.JoinPool
            )
            self._moves += int(joins_pool)
        elif isinstance(output, maintenance.AskPlatform):
            if output.action is maintenance.PlatformAction.reboot:
                self._steps += 1
                self._incarnations[output.instance] += 1
                self._up_at_s[output.instance] = self._now_s + _REBOOT_S
            answer = maintenance.PlatformAnswered(output.request_id)
            self.core.step(answer, self._now_s)

    def _commit(self, command: maintenance.Command) -> None:
        self._index += 1
        maintenance.apply_command(self.state, command, self._index)


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
