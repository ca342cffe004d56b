"""Histories of jobs against the truth about workers."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from builders.jobs import WORKER_LOCATIONS, JobSimulation
from sardinemast import placement

_workers = st.sampled_from([place[0] for place in WORKER_LOCATIONS])
_requests = st.builds(
    placement.commands.JobRequest,
    name=st.sampled_from([f'job-{number}' for number in range(12)]),
    team=st.sampled_from(['kerlann', 'atlas']),
    kind=st.sampled_from(['roster', 'track']),
    priority=st.sampled_from(list(placement.Priority)),
    declared=st.builds(
        placement.Size,
        st.sampled_from([1000, 4000, 8000, 9000]),
        st.sampled_from([1000, 8000, 20_000]),
        st.integers(0, 1),
    ),
    may_overlap=st.booleans(),
    can_checkpoint=st.booleans(),
    group=st.sampled_from(['', 'group']),
)


class Jobs(RuleBasedStateMachine):
    """Break everything while jobs run on a few workers."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = JobSimulation()
        self.simulation.advance()

    @rule(requests=st.lists(_requests, min_size=1, max_size=6))
    def submit(
        self,
        requests: list[placement.commands.JobRequest],
    ) -> None:
        """Take in jobs."""
        self.simulation.commit(
            placement.commands.SubmitJobs('s', tuple(requests))
        )

    @rule(
        rounds=st.integers(1, 8),
        silent=st.sets(_workers, max_size=2),
        losses=st.tuples(st.booleans(), st.booleans()),
    )
    def advance(
        self,
        rounds: int,
        silent: set[str],
        losses: tuple[bool, bool],
    ) -> None:
        """Let time pass with workers cut off and requests lost."""
        for _ in range(rounds):
            self.simulation.advance(
                silent,
                loses_requests=losses[0],
                commits_late=losses[1],
            )

    @rule(rounds=st.integers(1, 4))
    def live_well(self, rounds: int) -> None:
        """Let time pass with nothing going wrong."""
        for _ in range(rounds):
            self.simulation.advance()

    @rule(name=_workers, outcome=st.sampled_from(list(placement.RunResult)))
    def finish(self, name: str, outcome: placement.RunResult) -> None:
        """Let what runs on a worker end."""
        self.simulation.finish(name, outcome)

    @rule(name=_workers, is_faulty=st.booleans())
    def spoil(self, name: str, is_faulty: bool) -> None:
        """Make a worker fail everything, or repair it."""
        self.simulation.workers[name].is_faulty = is_faulty

    @rule(name=_workers)
    def restart(self, name: str) -> None:
        """Restart a worker."""
        self.simulation.workers[name].restart()

    @rule(jobs=st.sets(st.integers(0, 11), max_size=4), is_all=st.booleans())
    def cancel(self, jobs: set[int], is_all: bool) -> None:
        """Cancel some jobs, or all of a team's kind."""
        self.simulation.commit(
            placement.commands.CancelJobs(
                'c',
                tuple(f'job-{number}' for number in sorted(jobs)),
                'atlas' if is_all else '',
                'track' if is_all else '',
            ),
        )

    @rule(is_committed=st.booleans())
    def change_leader(self, is_committed: bool) -> None:
        """Let another process lead."""
        self.simulation.change_leader(is_committed)

    @rule()
    def run_deposed_leader(self) -> None:
        """Let the former leader ask for what it knew."""
        self.simulation.run_deposed_leader()

    @rule(back=st.integers(1, 40))
    def repeat_ask(self, back: int) -> None:
        """Carry an old request to its worker once more."""
        if back <= len(self.simulation.sent_requests):
            self.simulation.carry_out(self.simulation.sent_requests[-back])

    @rule(back=st.integers(1, 40))
    def repeat_report(self, back: int) -> None:
        """Tell the leader again what was told long ago."""
        if back <= len(self.simulation.events):
            self.simulation.feed(self.simulation.events[-back], is_kept=False)

    @rule(name=_workers, memory_bytes=st.sampled_from([500, 9000, 15_000]))
    def use(self, name: str, memory_bytes: int) -> None:
        """Let the runs on a worker take other memory than was kept."""
        worker = self.simulation.workers[name]
        for token in worker.runs:
            worker.uses[token] = placement.Size(0, memory_bytes)

    @rule(name=_workers, is_over=st.booleans())
    def drain(self, name: str, is_over: bool) -> None:
        """Drain a worker, or end that."""
        self.simulation.commit(
            placement.commands.DrainWorker('d', name, is_over)
        )

    @invariant()
    def truth_holds(self) -> None:
        """Check what truly runs."""
        self.simulation.check()

    @invariant()
    def few_are_set_aside(self) -> None:
        """Never empty the fleet by setting workers aside."""
        aside = [
            worker
            for worker in self.simulation.state.workers.values()
            if worker.status is placement.WorkerStatus.set_aside
        ]
        assert len(aside) <= 1


@pytest.mark.fuzz
def test_jobs_keep_all_promises() -> None:
    """Keep jobs single, limits whole and cancellations final.

    Workers, leaders and requests fail in any order over 2,000 histories. If
    a lost worker's lease is believed ended too early, a booking's job runs
    twice at once; if a cancellation is not final, it starts again.
    """
    Jobs.TestCase.settings = settings(
        max_examples=2000,
        stateful_step_count=30,
    )
    Jobs.TestCase('runTest').runTest()
