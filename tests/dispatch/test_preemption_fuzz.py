"""Check preemption over random sequences of elections and failures."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from builders.election_rules import ElectionRules
from builders.preemption import (
    LOW_QUEUE,
    POLICY,
    make_long_running,
    make_settings,
    make_two_queues,
)
from builders.workers import CORE, MIB, QUEUE, make_step
from sardinemast.jobs import Size, Step
from sardinemast.jobs.commands import CancelJob

pytestmark = pytest.mark.fuzz
_WORKERS = 3
_QUEUES = (QUEUE, LOW_QUEUE)


class PreemptionMachine(ElectionRules):
    """Fill workers with tasks of two priorities under random failures."""

    def __init__(self) -> None:
        super().__init__(_WORKERS, settings=make_settings())
        self.fleet.commit(make_two_queues())
        self.fleet.run(0.5)

    @rule(
        cores=st.integers(1, 4),
        count=st.integers(1, 8),
        queue=st.sampled_from(_QUEUES),
        can_checkpoint=st.booleans(),
    )
    def submit(
        self, cores: int, count: int, queue: str, can_checkpoint: bool
    ) -> None:
        """Submit a job of tasks that end."""
        self._submit(
            make_step(
                count,
                size=Size(cores * CORE, MIB),
                estimate_ms=3000,
                can_checkpoint=can_checkpoint,
            ),
            queue,
        )

    @rule(cores=st.integers(1, 4), is_service=st.booleans())
    def press(self, cores: int, is_service: bool) -> None:
        """Submit an urgent task behind enough others to fill all workers."""
        self._submit(make_step(4 * _WORKERS, estimate_ms=9000), LOW_QUEUE)
        self.fleet.run(0.3)
        size = Size(cores * CORE, MIB)
        urgent = make_step(
            size=size, estimate_ms=3000, is_long_running=is_service
        )
        self._submit(urgent, QUEUE)
        self.fleet.run(0.5)

    @rule(count=st.integers(1, 3), queue=st.sampled_from(_QUEUES))
    def submit_service(self, count: int, queue: str) -> None:
        """Submit long-running tasks and best-effort tasks."""
        filler = make_step(
            count,
            size=Size(CORE, 4096 * MIB),
            is_long_running=True,
            is_best_effort=True,
        )
        self._submit(make_long_running(count, max_unavailable=1), queue)
        self._submit(filler, queue)

    @rule(number=st.integers(1, 9))
    def cancel(self, number: int) -> None:
        """Cancel a job."""
        self.fleet.commit(CancelJob(f'job-{number}'))

    @rule(number=st.integers(0, _WORKERS - 1))
    def end_run(self, number: int) -> None:
        """End a run on a worker."""
        model = self.fleet.workers[f'w-{number}']
        if model.running:
            model.end(next(iter(model.running)), 'done')

    @rule(number=st.integers(0, _WORKERS - 1), delay_s=st.floats(0, 0.5))
    def delay_stops(self, number: int, delay_s: float) -> None:
        """Let a worker stop runs late."""
        self.fleet.workers[f'w-{number}'].stop_delay_s = delay_s

    @rule(number=st.integers(0, _WORKERS - 1))
    def toggle_connection(self, number: int) -> None:
        """Disconnect a worker, or reconnect it."""
        model = self.fleet.workers[f'w-{number}']
        model.is_unreachable = not model.is_unreachable

    @rule(index=st.integers(0, 50))
    def execute_late_order(self, index: int) -> None:
        """Execute an unanswered order late."""
        orders = self.fleet.undelivered_orders
        if orders:
            model, order, _ = orders.pop(index % len(orders))
            model.carry_out(order, self.fleet.now_s)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 6.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.run(seconds)

    @invariant()
    def keeps_capacity(self) -> None:
        """Check that no worker is used beyond its capacity."""
        state = self.fleet.state
        for worker in state.workers.values():
            assert min(state.get_free(worker)) >= 0

    @invariant()
    def limits_preemptions(self) -> None:
        """Check limits, and that the highest priority never gives way."""
        for job in self.fleet.state.jobs.values():
            for step in job.iterate_steps():
                for runs in step.preempted.values():
                    assert len(runs) <= POLICY.max_per_task
                    assert job.queue.priority or step.spec.is_best_effort

    def teardown(self) -> None:
        """Check that all jobs that end by themselves end."""
        fleet = self.fleet
        fleet.is_held = False
        fleet.commit_held()
        for model in fleet.workers.values():
            model.is_unreachable = False
        for job in tuple(fleet.state.live.values()):
            if job.request.steps[0].is_long_running:
                fleet.commit(CancelJob(job.name))
        fleet.run(8)
        for _ in range(90):
            if not fleet.state.live:
                break
            for model in fleet.workers.values():
                for task in tuple(model.running):
                    model.end(task, 'done')
            fleet.run(1)
        assert not fleet.state.live

    def _submit(self, step: Step, queue: str) -> None:
        self.jobs += 1
        self.fleet.submit(f'job-{self.jobs}', step, queue=queue)


TestPreemption = PreemptionMachine.TestCase
TestPreemption.settings = settings(
    stateful_step_count=40,
    max_examples=100,
    deadline=None,
)
