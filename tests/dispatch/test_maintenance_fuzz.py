"""Random histories of maintenance, moves and leaders against simple rules."""

from itertools import pairwise

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from builders.election_rules import ElectionRules
from builders.model_workers import ModelWorker, OrderSeen
from builders.workers import make_step
from sardinemast.jobs import TaskKey
from sardinemast.jobs.commands import DeclareWave, RegisterWorker

pytestmark = pytest.mark.fuzz
_WORKERS = 4
_LASTING = 4
_FAR_MS = 10**9
# Where nothing checks fences, two holders must not take turns within this.
_APART_S = 3.0


class Maintaining(ElectionRules):
    """Empty, maintain and move instances while leaders come and go."""

    def __init__(self) -> None:
        super().__init__(_WORKERS)
        self.fleet.instances.standby = {'s-0', 's-1'}
        for model in self.fleet.workers.values():
            model.stop_delay_s = 0.4
        self.waves = 0

    @initialize()
    def start_lasting(self) -> None:
        """Run a step that may miss one of its four tasks."""
        step = make_step(_LASTING, is_long_running=True, max_unavailable=1)
        self.fleet.run(1)
        self.fleet.submit('watch', step)
        self.fleet.run(2)

    @rule(width=st.integers(4, 30))
    def submit(self, width: int) -> None:
        """Submit a job that may need more than the pool has."""
        self.jobs += 1
        self.fleet.submit(f'job-{self.jobs}', make_step(width))

    @rule()
    def finish(self) -> None:
        """Let all tasks end that end by themselves."""
        for model in self.fleet.workers.values():
            for task in tuple(model.running):
                if task.job != 'watch':
                    model.end(task, 'done')

    @rule(cap=st.integers(1, 2))
    def declare(self, cap: int) -> None:
        """Have all instances maintained."""
        self.waves += 1
        names = tuple(f'm-{number}' for number in range(_WORKERS))
        wave = DeclareWave(self.waves, names, cap, self.fleet.now_ms, _FAR_MS)
        self.fleet.commit(wave)

    @rule(number=st.integers(0, _WORKERS - 1))
    def come_back(self, number: int) -> None:
        """Let an instance that was ordered down have its next worker."""
        instance = f'm-{number}'
        if instance in self.fleet.instances.upkeeps:
            self.boots += 1
            for model in self._find(instance):
                for task in tuple(model.running):
                    model.end(task, 'stopped')
            self.fleet.replace_worker(instance, self.boots + 100)

    @rule(number=st.integers(0, _WORKERS - 1))
    def drain(self, number: int) -> None:
        """Have a worker say that it drains."""
        for model in self._find(f'm-{number}'):
            model.worker = model.worker._replace(is_draining=True)
            self.fleet.commit(RegisterWorker(model.worker))

    @rule(
        number=st.integers(0, _WORKERS - 1),
        percent=st.sampled_from([5, 40, 100]),
    )
    def change_pace(self, number: int, percent: int) -> None:
        """Have a worker's tasks crawl, start up or be at work."""
        for model in self._find(f'm-{number}'):
            model.percent = percent

    @rule(number=st.integers(0, _WORKERS - 1))
    def crash_task(self, number: int) -> None:
        """Let a task fail at a worker."""
        for model in self._find(f'm-{number}'):
            for task in tuple(model.running)[:1]:
                model.end(task, 'failed')

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.5, 5.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.run(seconds)

    @invariant()
    def keeps_leaders_apart(self) -> None:
        """Check that no two leaders order an instance one after the other."""
        by_instance: dict[str, list[OrderSeen]] = {}
        for seen in self.fleet.instances.seen:
            by_instance.setdefault(seen.instance, []).append(seen)
        for orders in by_instance.values():
            for before, after in pairwise(orders):
                assert after.token >= before.token
                is_apart = after.at_s >= before.at_s + _APART_S
                assert is_apart or after.token == before.token

    @invariant()
    def stops_one_at_a_time(self) -> None:
        """Check that no order is on its way to stop two lasting tasks."""
        stopping: set[TaskKey] = set()
        for model in self.fleet.workers.values():
            stopping.update(
                task for task in model.stopping if task.job == 'watch'
            )
        assert len(stopping) <= 1

    def _find(self, instance: str) -> list[ModelWorker]:
        return [
            model
            for model in self.fleet.workers.values()
            if model.worker.instance == instance
        ]


TestMaintaining = Maintaining.TestCase
TestMaintaining.settings = settings(
    stateful_step_count=40,
    max_examples=120,
    deadline=None,
)
