"""Waves over whole fleets in virtual time, against one instance at a time.

Kerlann's and Atlas's fleets have the same shape, five pools of eight over
four data centres; the target is 1,900 workers in 45 pools.
"""

import sys
import tracemalloc
from collections.abc import Iterator
from time import process_time
from typing import NamedTuple

from sardinemast import maintenance

_WALL_S = 1_000_000.0
_REBOOT_S = 90
_LIMIT_S = 7000
_GROWTH_S = 150
_CENTRES = 4
_PER_RACK = 4


class Size(NamedTuple):
    """Name a fleet and its size."""

    name: str
    pools: int
    per_pool: int
    drain_s: int

    @property
    def workers(self) -> int:
        """Count all workers."""
        return self.pools * self.per_pool


class Measured(NamedTuple):
    """Hold what one wave cost."""

    rollout_s: float
    idle_instance_s: float
    moves: int
    steps: int
    cpu_s: float
    plans: int
    memory_bytes: int


KERLANN = Size('Kerlann', 5, 8, 20)
ATLAS = Size('Atlas', 5, 8, 60)
SIZES = (
    Size('40', 5, 8, 20),
    Size('200', 10, 20, 20),
    Size('800', 25, 32, 20),
    Size('1890 (target)', 45, 42, 20),
)


def main() -> None:
    """Print roll-out time, buffer cost and effort."""
    for size in (KERLANN, ATLAS):
        _compare(size)
    _grow()


def _compare(size: Size) -> None:
    at_once = _Fleet(size, at_once=size.workers).run()
    single = _extrapolate(_Fleet(size, at_once=1).run(_LIMIT_S), size)
    failing = _Fleet(size, at_once=size.workers, failure_period_s=240)
    _tell(
        f'{size.name}: {size.workers} workers, {size.pools} pools, '
        f'drain {size.drain_s} s, reboot {_REBOOT_S} s',
    )
    for name, measured in (
        ('one at a time', single),
        ('budgets', at_once),
        ('budgets, a failure each 240 s', failing.run()),
    ):
        _tell(
            f'  {name:<30} roll-out {measured.rollout_s:>8.0f} s '
            f'({measured.rollout_s / single.rollout_s:.3f}), down '
            f'{measured.idle_instance_s:>8.0f} instance-s '
            f'({measured.idle_instance_s / single.idle_instance_s:.3f}), '
            f'moves {measured.moves}, reboots {measured.steps}',
        )


def _extrapolate(measured: Measured, size: Size) -> Measured:
    """Stretch a run that was cut short, by its steps."""
    if measured.steps >= size.workers:
        return measured
    factor = size.workers / measured.steps
    _tell(f'  one at a time is stretched from {measured.steps} steps')
    return measured._replace(
        rollout_s=measured.rollout_s * factor,
        idle_instance_s=measured.idle_instance_s * factor,
        steps=size.workers,
    )


def _grow() -> None:
    _tell('Effort of the leader, one plan a second, during a wave')
    first: Measured | None = None
    for size in SIZES:
        measured = _Fleet(size, at_once=size.workers).run(_GROWTH_S)
        first = first or measured
        _tell(f'  {size.name:<15} {_describe(size, measured, first)}')


def _describe(size: Size, measured: Measured, first: Measured) -> str:
    traced = _Fleet(size, at_once=size.workers, is_traced=True).run(60)
    idle = _Fleet(size, at_once=0).run(20)
    per_plan_ms = measured.cpu_s / measured.plans * 1000
    growth = per_plan_ms / (first.cpu_s / first.plans * 1000)
    return (
        f'{per_plan_ms:7.3f} ms a plan = {per_plan_ms / 10:.3f}% of a core '
        f'({growth:.1f}x for {size.workers / SIZES[0].workers:.1f}x workers), '
        f'{measured.cpu_s / measured.steps * 1000:.2f} ms a step, '
        f'idle {idle.cpu_s / idle.plans * 100:.3f}% of a core, '
        f'memory {traced.memory_bytes / 1024:.0f} KiB'
    )


class _Fleet:
    """Hold a fleet whose instances and entries do all that is asked."""

    def __init__(
        self,
        size: Size,
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
        self._back_s: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}
        self._entry_runs = [
            maintenance.EntryRun(f'entry-{number}', 1) for number in range(8)
        ]
        self._cpu_s: float = 0
        self._moves = 0
        self._steps = 0
        self._enrol()
        self._start(at_once)

    def run(self, limit_s: int = _LIMIT_S) -> Measured:
        """Run a wave to its end."""
        down = 0
        start_s = self._now_s
        while self._is_running() and self._now_s - start_s < limit_s:
            self._live()
            down += self._count_down()
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

    def _count_down(self) -> int:
        serving = maintenance.Condition.serving
        return sum(
            one.condition is not serving
            for one in self.state.instances.values()
        )

    def _enrol(self) -> None:
        pools = tuple(
            maintenance.PoolBudget(
                f'pool-{number}',
                down_max=self._size.per_pool // 2,
                serving_min=self._size.per_pool // 2 - 1,
                reserve=maintenance.DomainKind.rack,
            )
            for number in range(self._size.pools)
        )
        budgets = maintenance.Budgets(pools, (), 'pool-0')
        self._commit(maintenance.commands.SetBudgets('b', budgets))
        for pool in range(self._size.pools):
            for number in range(self._size.per_pool):
                self._enrol_one(pool, number)
        for run in self._entry_runs:
            self._commit(maintenance.commands.NoteEntry(run))

    def _enrol_one(self, pool: int, number: int) -> None:
        name = f'pool-{pool}-{number}'
        centre = number % _CENTRES
        rack = number // _CENTRES // _PER_RACK
        self._incarnations[name] = 1
        self._commit(
            maintenance.commands.EnrolInstance(
                name,
                'region',
                f'centre-{centre}',
                f'rack-{pool}-{rack}',
                f'pool-{pool}',
                _WALL_S,
            ),
        )

    def _start(self, at_once: int) -> None:
        self.core.step(maintenance.TermStarted(), 0)
        while self._count_down():
            self._live()
        self._cpu_s = 0
        plan = maintenance.WavePlan(
            'wave',
            tuple(one.pool for one in self.state.budgets.pools),
            at_once=at_once,
            resume_after_s=60,
        )
        wall_s = _WALL_S + self._now_s
        self._commit(maintenance.commands.StartWave('w', plan, wall_s))

    def _live(self) -> None:
        self._now_s += 1
        if self._failure_period_s and not self._now_s % self._failure_period_s:
            self._fail()
        for event in self._get_events():
            started_s = process_time()
            outputs = self.core.step(event, self._now_s)
            for output in outputs:
                self._carry_out(output)
            self._cpu_s += process_time() - started_s

    def _fail(self) -> None:
        names = sorted(self.state.instances)
        name = names[self._now_s * 7919 % len(names)]
        if self._back_s.get(name, 0) <= self._now_s:
            self._incarnations[name] += 1
            self._back_s[name] = self._now_s + _REBOOT_S

    def _get_events(self) -> Iterator[maintenance.Event]:
        yield maintenance.InstancesReported(
            tuple(
                maintenance.InstanceReported(
                    name,
                    self._incarnations[name],
                    known.pool,
                )
                for name, known in self.state.instances.items()
                if self._back_s.get(name, 0) <= self._now_s
            ),
        )
        busy = frozenset(
            one.name
            for one in self.state.get_stepping()
            if one.step
            and self._now_s < self._started_s(one) + self._size.drain_s
        )
        for run in self._entry_runs:
            yield maintenance.DrainsReported(run, self._index, busy)
        yield maintenance.Tick(_WALL_S + self._now_s)

    def _started_s(self, instance: maintenance.Instance) -> int:
        # Work that was under way at the start of the drain ends evenly.
        if instance.condition in maintenance.UNCUT and instance.step:
            key = f'{instance.name}:{instance.step.log_index}'
            return self._back_s.setdefault(key, self._now_s)
        return 0

    def _carry_out(self, output: maintenance.Output) -> None:
        if isinstance(output, maintenance.Propose):
            self._commit(output.command)
            joins = isinstance(output.command, maintenance.commands.JoinPool)
            self._moves += int(joins)
        elif isinstance(output, maintenance.AskPlatform):
            if output.action is maintenance.PlatformAction.reboot:
                self._steps += 1
                self._incarnations[output.instance] += 1
                self._back_s[output.instance] = self._now_s + _REBOOT_S
            answer = maintenance.PlatformAnswered(output.request_id)
            self.core.step(answer, self._now_s)

    def _commit(self, command: maintenance.Command) -> None:
        self._index += 1
        maintenance.apply_command(self.state, command, self._index)


def _tell(line: str) -> None:
    sys.stdout.write(f'{line}\n')
