"""Check invariants of maintenance and moves over random sequences."""

from itertools import pairwise

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from builders.election_rules import ElectionRules
from builders.model_workers import ModelWorker, ReceivedOrder
from builders.workers import make_step
from sardinemast.jobs import TaskKey
from sardinemast.jobs.commands import DeclareWave, RegisterWorker

pytestmark = pytest.mark.fuzz
_WORKERS = 4
_TASK_COUNT = 4
_FAR_MS = 10**9
# Minimum time between the orders of two leaders for one instance.
_LEADER_GAP_S = 3.0


class MaintenanceMachine(ElectionRules):
    """Drain, maintain and move instances across changes of leader."""

    def __init__(self) -> None:
        super().__init__(_WORKERS)
        self.fleet.instances.standby = {'s-0', 's-1'}
        for model in self.fleet.workers.values():
            model.stop_delay_s = 0.4
        self.waves = 0

    @initialize()
    def start_long_running_step(self) -> None:
        """Run a long-running step that allows one unavailable task of four."""
        step = make_step(_TASK_COUNT, is_long_running=True, max_unavailable=1)
        self.fleet.run(1)
        self.fleet.submit('watch', step)
        self.fleet.run(2)

    @rule(width=st.integers(4, 30))
    def submit(self, width: int) -> None:
        """Submit a job that may exceed the capacity of the pool."""
        self.jobs += 1
        self.fleet.submit(f'job-{self.jobs}', make_step(width))

    @rule()
    def finish_tasks(self) -> None:
        """End all tasks that are not long-running."""
        for model in self.fleet.workers.values():
            for task in tuple(model.running):
                if task.job != 'watch':
                    model.end(task, 'done')

    @rule(cap=st.integers(1, 2))
    def declare_wave(self, cap: int) -> None:
        """Declare a wave of all instances."""
        self.waves += 1
        names = tuple(f'm-{number}' for number in range(_WORKERS))
        wave = DeclareWave(self.waves, names, cap, self.fleet.now_ms, _FAR_MS)
        self.fleet.commit(wave)

    @rule(number=st.integers(0, _WORKERS - 1))
    def return_instance(self, number: int) -> None:
        """Register the next worker of an instance that was ordered down."""
        instance = f'm-{number}'
        if instance in self.fleet.instances.maintenance_orders:
            self.last_boot_ms += 1
            for model in self._find(instance):
                for task in tuple(model.running):
                    model.end(task, 'stopped')
            self.fleet.replace_worker(instance, self.last_boot_ms + 100)

    @rule(number=st.integers(0, _WORKERS - 1))
    def drain(self, number: int) -> None:
        """Announce that a worker is draining."""
        for model in self._find(f'm-{number}'):
            model.worker = model.worker._replace(is_draining=True)
            self.fleet.commit(RegisterWorker(model.worker))

    @rule(
        number=st.integers(0, _WORKERS - 1),
        percent=st.sampled_from([5, 40, 100]),
    )
    def change_progress(self, number: int, percent: int) -> None:
        """Set the progress that the runs of a worker report."""
        for model in self._find(f'm-{number}'):
            model.percent = percent

    @rule(number=st.integers(0, _WORKERS - 1))
    def crash_task(self, number: int) -> None:
        """Fail a task on a worker."""
        for model in self._find(f'm-{number}'):
            for task in tuple(model.running)[:1]:
                model.end(task, 'failed')

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.5, 5.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.run(seconds)

    @invariant()
    def separates_leaders(self) -> None:
        """Check the time between orders of two leaders for an instance."""
        by_instance: dict[str, list[ReceivedOrder]] = {}
        for seen in self.fleet.instances.seen:
            by_instance.setdefault(seen.instance, []).append(seen)
        for orders in by_instance.values():
            for before, after in pairwise(orders):
                assert after.token >= before.token
                is_separated = after.at_s >= before.at_s + _LEADER_GAP_S
                assert is_separated or after.token == before.token

    @invariant()
    def stops_one_at_a_time(self) -> None:
        """Check that at most one long-running task is being stopped."""
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


TestMaintenance = MaintenanceMachine.TestCase
TestMaintenance.settings = settings(
    stateful_step_count=40,
    max_examples=120,
    deadline=None,
)
