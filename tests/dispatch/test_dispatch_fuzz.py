"""Check invariants over random sequences of elections and failures."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from builders.election_rules import ElectionRules
from builders.workers import (
    CORE,
    DATA_CENTRE,
    MIB,
    OTHER_DATA_CENTRE,
    SETTINGS,
    SETTINGS_WITH_RACKS,
    TEAM,
    make_catalog,
    make_step,
    make_worker,
)
from sardinemast.dispatch import DispatchSettings, WorkerContested
from sardinemast.jobs import ZERO_SIZE, Size, TaskKey
from sardinemast.jobs.commands import (
    CancelJob,
    EvacuateDataCentre,
    PutCatalog,
    ReadmitDataCentre,
)

pytestmark = pytest.mark.fuzz
_CAP = 5 * CORE
_WORKERS = 3
# Of the clock of one worker.
_SLOW_RATE = 0.98
_RACKS = ('r-0', 'r-1')
_DATA_CENTRES = (DATA_CENTRE, OTHER_DATA_CENTRE)


class DispatchMachine(ElectionRules):
    """Apply random failures and jobs to leaders and workers."""

    def __init__(self, settings: DispatchSettings = SETTINGS) -> None:
        super().__init__(_WORKERS, settings)
        self.done: set[TaskKey] = set()
        self.fleet.add_worker(
            make_worker(_WORKERS, data_centre=OTHER_DATA_CENTRE), _SLOW_RATE
        )

    @initialize()
    def limit_team(self) -> None:
        """Limit the team to five of the sixteen cores."""
        self.fleet.commit(PutCatalog(make_catalog(2, cap=_CAP), b'{}'))

    @rule(widths=st.lists(st.integers(1, 4), min_size=1, max_size=3))
    def submit(self, widths: list[int]) -> None:
        """Submit a job whose steps depend on each other."""
        self.jobs += 1
        steps = [
            make_step(width, depends_on=(index - 1,) if index else ())
            for index, width in enumerate(widths)
        ]
        self.fleet.submit(f'job-{self.jobs}', *steps)

    @rule(width=st.integers(2, 4))
    def submit_gang(self, width: int) -> None:
        """Submit a job with a gang."""
        self.jobs += 1
        self.fleet.submit(f'job-{self.jobs}', make_step(width, is_gang=True))

    @rule(number=st.integers(1, 9))
    def cancel(self, number: int) -> None:
        """Cancel a job."""
        self.fleet.commit(CancelJob(f'job-{number}'))

    @rule(
        number=st.integers(0, _WORKERS - 1),
        result=st.sampled_from(['done', 'done', 'failed', 'lapsed']),
    )
    def end_run(self, number: int, result: str) -> None:
        """End a run on a worker."""
        model = self.fleet.workers[f'w-{number}']
        if model.running:
            task = next(iter(model.running))
            model.end(task, result)

    @rule(number=st.integers(0, _WORKERS - 1))
    def end_all_runs(self, number: int) -> None:
        """End all runs on a worker."""
        model = self.fleet.workers[f'w-{number}']
        for task in tuple(model.running):
            model.end(task, 'done')

    @rule(number=st.integers(0, _WORKERS - 1))
    def toggle_connection(self, number: int) -> None:
        """Disconnect a worker, or reconnect it."""
        model = self.fleet.workers[f'w-{number}']
        model.is_unreachable = not model.is_unreachable

    @rule(number=st.integers(0, _WORKERS - 1))
    def toggle_answers(self, number: int) -> None:
        """Lose the answers of a worker, or stop losing them."""
        model = self.fleet.workers[f'w-{number}']
        model.loses_responses = not model.loses_responses

    @rule(number=st.integers(0, _WORKERS - 1))
    def restart_worker(self, number: int) -> None:
        """Restart a worker under its name, without its state."""
        self.last_boot_ms += 1
        self.fleet.add_worker(make_worker(number, boot_ms=self.last_boot_ms))

    @rule(
        number=st.integers(0, _WORKERS - 1),
        cores=st.integers(1, 4),
        is_draining=st.booleans(),
    )
    def restart_silently(
        self, number: int, cores: int, *, is_draining: bool
    ) -> None:
        """Restart a worker in another size, before it announces itself."""
        if is_draining:
            self.fleet.drain_worker(number)
        capacity = Size(cores * CORE, 8192 * MIB)
        model = self.fleet.restart_silently(number, capacity=capacity)
        self.last_boot_ms = max(self.last_boot_ms, model.worker.boot_ms)

    @rule(number=st.integers(0, _WORKERS - 1))
    def announce(self, number: int) -> None:
        """Let a worker announce itself."""
        self.fleet.announce(self.fleet.workers[f'w-{number}'])

    @rule(number=st.integers(0, _WORKERS))
    def contest(self, number: int) -> None:
        """Let another worker claim the place of a worker."""
        self.fleet.deliver(WorkerContested(f'w-{number}'))

    @rule()
    def toggle_clocks(self) -> None:
        """Let announcements tell no clocks, or tell them again."""
        self.fleet.announces_clocks = not self.fleet.announces_clocks

    @rule(name=st.sampled_from(_DATA_CENTRES))
    def evacuate(self, name: str) -> None:
        """Evacuate a data centre."""
        self.fleet.commit(EvacuateDataCentre('', name))

    @rule(name=st.sampled_from(_DATA_CENTRES))
    def readmit(self, name: str) -> None:
        """Readmit a data centre."""
        self.fleet.commit(ReadmitDataCentre('', name))

    @rule(index=st.integers(0, 50))
    def execute_late_order(self, index: int) -> None:
        """Execute an unanswered order late."""
        undelivered_orders = self.fleet.undelivered_orders
        if undelivered_orders:
            model, order, _ = undelivered_orders.pop(
                index % len(undelivered_orders)
            )
            if model is self.fleet.workers[model.worker.name]:
                model.carry_out(order, self.fleet.now_s)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.5, 7.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.run(seconds)

    @invariant()
    def respects_team_limit(self) -> None:
        """Check that recorded runs stay within the team's limit."""
        used = self.fleet.state.usage.by_team.get(TEAM, ZERO_SIZE)
        assert used.millicores <= _CAP

    @invariant()
    def accounts_capacity(self) -> None:
        """Check that the used capacity equals that of the recorded runs.

        Runs of an earlier boot count until the present one has been polled, and
        may then exceed its capacity; those that were started on it must fit.
        """
        state = self.fleet.state
        runs = sum(len(one) for one in state.runs.values())
        used = state.usage.by_team.get(TEAM, ZERO_SIZE)
        assert used.millicores == runs * CORE
        for worker in state.workers.values():
            runs_there = set(state.runs.get(worker.name, {}).items())
            own_runs = runs_there & {
                (start.task, start.number)
                for start in self.fleet.started
                if start.worker.name == worker.name
                and start.worker.boot_ms == worker.boot_ms
            }
            assert len(own_runs) * CORE <= worker.capacity.millicores
            if own_runs == runs_there:
                assert state.get_free(worker).millicores >= 0

    @invariant()
    def respects_dependencies(self) -> None:
        """Check that no task starts before its dependencies are done."""
        for start in self.fleet.started:
            job = self.fleet.state.jobs[start.task.job]
            if start.task.step:
                before = job.steps[0][start.task.step - 1]
                assert before.is_done

    @invariant()
    def starts_nothing_in_evacuated_data_centres(self) -> None:
        """Check that no start is sent to an evacuated data centre."""
        assert not self.fleet.started_evacuated

    def teardown(self) -> None:
        """Check that all jobs end once all workers are healthy."""
        fleet = self.fleet
        for name in _DATA_CENTRES:
            fleet.commit(ReadmitDataCentre('', name))
        fleet.is_held = False
        fleet.commit_held()
        for model in fleet.workers.values():
            model.is_unreachable = False
            model.loses_responses = False
            fleet.announce(model)
        fleet.run(8)
        for _ in range(60):
            if not fleet.state.live:
                break
            for model in fleet.workers.values():
                for task in tuple(model.running):
                    model.end(task, 'done')
            fleet.run(1)
        assert not fleet.state.live


class LostRacksMachine(DispatchMachine):
    """Let racks become silent and return, with suspicion of racks.

    Each rack has several workers, which fill most of the team's limit.
    """

    def __init__(self) -> None:
        super().__init__(SETTINGS_WITH_RACKS)
        for number in range(_WORKERS + 1, 2 * _WORKERS + 1):
            self.fleet.add_worker(make_worker(number, cores=2))

    @rule(rack=st.sampled_from(_RACKS), is_unreachable=st.booleans())
    def toggle_rack(self, rack: str, is_unreachable: bool) -> None:
        """Disconnect a rack, or reconnect it."""
        self.fleet.set_rack_unreachable(rack, is_unreachable=is_unreachable)

    @rule(rack=st.sampled_from(_RACKS))
    def restart_rack(self, rack: str) -> None:
        """Restart all workers of a rack under their names."""
        self.last_boot_ms += 1
        for model in tuple(self.fleet.workers.values()):
            if model.worker.rack == rack:
                boot = model.worker._replace(boot_ms=self.last_boot_ms)
                self.fleet.add_worker(boot)

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def pause_leader(self, seconds: float) -> None:
        """Let time pass without the leader."""
        self.fleet.now_s += seconds


TestLostRacks = LostRacksMachine.TestCase
TestLostRacks.settings = settings(
    stateful_step_count=40,
    max_examples=150,
    deadline=None,
)
TestDispatch = DispatchMachine.TestCase
TestDispatch.settings = settings(
    stateful_step_count=40,
    max_examples=150,
    deadline=None,
)
