"""Check over random sequences that long-running tasks run if there is room."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from builders.election_rules import ElectionRules
from builders.instance_fleets import InstanceFleet
from builders.long_running import RoomObserver
from builders.model_workers import ModelWorker
from builders.workers import CORE, MIB, make_step
from sardinemast.dispatch import DispatchSettings
from sardinemast.jobs import Size
from sardinemast.jobs.commands import CancelJob, DeclareWave, RegisterWorker

pytestmark = pytest.mark.fuzz
_WORKERS = 2
_STANDBY = ('s-0', 's-1')
_NUMBERS = st.integers(0, _WORKERS - 1)
_NEAR_MS = 20_000
_FAR_MS = 10**9
# Longer than a task may be away after a failure, and the time to detect it.
_CALM_S = 10.0


class LongRunningMachine(ElectionRules):
    """Apply waves, moves, failures and elections to long-running tasks.

    The pool is small, so that often only one worker has room.
    """

    def __init__(self, standby: tuple[str, ...] = ()) -> None:
        super().__init__(_WORKERS)
        self.fleet: InstanceFleet = InstanceFleet(_WORKERS, DispatchSettings())
        self.fleet.instances.standby = set(standby)
        self.fleet.run(4)
        self.waves = 0

    @initialize(
        count=st.integers(1, 4),
        max_unavailable=st.integers(0, 1),
        cores=st.sampled_from([0, 3, 4]),
    )
    def fill_pool(self, count: int, max_unavailable: int, cores: int) -> None:
        """Start long-running tasks, and fill another worker."""
        self.submit_long_running(count, 1, max_unavailable, 0)
        if cores:
            self.submit_batch(1, cores)

    @rule(
        count=st.integers(1, 4),
        cores=st.integers(1, 2),
        max_unavailable=st.integers(0, 1),
        max_per_worker=st.integers(0, 1),
    )
    def submit_long_running(
        self, count: int, cores: int, max_unavailable: int, max_per_worker: int
    ) -> None:
        """Submit a job that runs until it is cancelled."""
        self.jobs += 1
        step = make_step(
            count,
            size=Size(cores * CORE, MIB),
            is_long_running=True,
            max_unavailable=max_unavailable,
            max_per_worker=max_per_worker,
        )
        self.fleet.submit(f'watch-{self.jobs}', step)
        self.fleet.run(0.5)

    @rule(count=st.integers(1, 8), cores=st.integers(1, 4))
    def submit_batch(self, count: int, cores: int) -> None:
        """Submit a job that may exceed the capacity of the pool."""
        self.jobs += 1
        step = make_step(count, size=Size(cores * CORE, MIB), estimate_ms=20000)
        self.fleet.submit(f'batch-{self.jobs}', step)
        self.fleet.run(0.5)

    @rule(number=_NUMBERS, result=st.sampled_from(['done', 'failed', 'lapsed']))
    def end_batch(self, number: int, result: str) -> None:
        """End the batch tasks on a worker."""
        for model in self._find(number):
            for task in tuple(model.running):
                if task.job.startswith('batch'):
                    model.end(task, result)

    @rule(number=_NUMBERS, result=st.sampled_from(['failed', 'lapsed']))
    def end_long_running(self, number: int, result: str) -> None:
        """End a long-running task on a worker."""
        for model in self._find(number):
            running = [one for one in model.running if one.job[0] == 'w']
            for task in running[:1]:
                model.end(task, result)

    @rule(number=st.integers(1, 9))
    def cancel(self, number: int) -> None:
        """Cancel a job."""
        self.fleet.commit(CancelJob(f'watch-{number}'))
        self.fleet.commit(CancelJob(f'batch-{number}'))

    @rule(
        cap=st.integers(1, 3),
        numbers=st.sets(_NUMBERS, min_size=1),
        has_standby=st.booleans(),
        due_ms=st.sampled_from([_NEAR_MS, _FAR_MS]),
    )
    def declare_wave(
        self, cap: int, numbers: set[int], has_standby: bool, due_ms: int
    ) -> None:
        """Declare a wave of some instances."""
        self.waves += 1
        names = [f'm-{number}' for number in sorted(numbers)]
        if has_standby:
            names.extend(_STANDBY)
        now_ms = self.fleet.now_ms
        wave = DeclareWave(
            self.waves, tuple(names), cap, now_ms, now_ms + due_ms
        )
        self.fleet.commit(wave)

    @rule(keeps_names=st.booleans())
    def keep_names(self, keeps_names: bool) -> None:
        """Choose whether the next workers of instances keep their names."""
        self.fleet.keeps_names = keeps_names

    @rule(number=_NUMBERS)
    def restart_worker(self, number: int) -> None:
        """Restart a worker under its name."""
        for model in self._find(number):
            self.fleet.restart_worker(model.worker.name)

    @rule(number=_NUMBERS)
    def crash_worker(self, number: int) -> None:
        """Crash a worker, whose instance returns soon."""
        for model in self._find(number):
            self.fleet.crash_worker(model.worker.name, 2)

    @rule(number=_NUMBERS)
    def drain_worker(self, number: int) -> None:
        """Announce that a worker is draining, and replace it."""
        for model in self._find(number):
            model.worker = model.worker._replace(is_draining=True)
            self.fleet.commit(RegisterWorker(model.worker))
        self.fleet.run(2)
        for model in self._find(number):
            if model.worker.is_draining:
                self.fleet.crash_worker(model.worker.name, 1)

    @rule(number=_NUMBERS, is_unreachable=st.booleans())
    def set_connection(self, number: int, is_unreachable: bool) -> None:
        """Disconnect a worker, or reconnect it."""
        for model in self._find(number):
            model.is_unreachable = is_unreachable

    @rule(number=_NUMBERS, loses_responses=st.booleans())
    def set_answers(self, number: int, loses_responses: bool) -> None:
        """Lose the answers of a worker, or stop losing them."""
        for model in self._find(number):
            model.loses_responses = loses_responses

    @rule(count=st.integers(1, 3))
    def lose_starts(self, count: int) -> None:
        """Lose the next starts and their answers."""
        self.fleet.starts_to_lose = count

    @rule(number=_NUMBERS, percent=st.sampled_from([3, 100]))
    def change_progress(self, number: int, percent: int) -> None:
        """Set the progress that the runs of a worker report."""
        for model in self._find(number):
            model.percent = percent

    @rule(number=_NUMBERS, delay_s=st.sampled_from([0, 0.4]))
    def delay_stops(self, number: int, delay_s: float) -> None:
        """Set how long a worker takes to stop a run."""
        for model in self._find(number):
            model.stop_delay_s = delay_s

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.5, 5.0, 25.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.run(seconds)

    @rule()
    def calm(self) -> None:
        """Repair all faults and check that tasks run where there is room.

        Waves and moves go on.
        """
        fleet = self.fleet
        fleet.is_held = False
        fleet.commit_held()
        fleet.starts_to_lose = 0
        for model in fleet.workers.values():
            model.is_unreachable = False
            model.loses_responses = False
            model.percent = 100
        observer = RoomObserver(fleet)
        observer.run(_CALM_S)
        assert not observer.list_overdue(has_failure=True)

    def teardown(self) -> None:
        """Check the tasks at the end."""
        self.calm()

    def _find(self, number: int) -> list[ModelWorker]:
        model = self.fleet.find_worker(f'm-{number}')
        return [model] if model else []


class StandbyMachine(LongRunningMachine):
    """Let standby instances join and leave the pool."""

    def __init__(self) -> None:
        super().__init__(_STANDBY)


_SETTINGS = settings(
    stateful_step_count=15,
    max_examples=250,
    deadline=None,
    report_multiple_bugs=False,
)
TestStandby = StandbyMachine.TestCase
TestStandby.settings = _SETTINGS
TestLongRunning = LongRunningMachine.TestCase
TestLongRunning.settings = _SETTINGS
