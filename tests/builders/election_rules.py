"""Rules of random histories in which leaders come and go."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from builders.workers import ModelFleet


class ElectionRules(RuleBasedStateMachine):
    """Elect leaders, hold the log, and check that each task runs once."""

    def __init__(self, worker_count: int) -> None:
        super().__init__()
        self.fleet = ModelFleet(worker_count)
        self.boots = 1
        self.jobs = 0

    @rule()
    def hold(self) -> None:
        """Let the log stand still, or commit what has waited."""
        self.fleet.is_held = not self.fleet.is_held
        if not self.fleet.is_held:
            self.fleet.commit_held()

    @rule(kept=st.integers(0, 3))
    def elect(self, kept: int) -> None:
        """Let another leader begin; the log may have some proposals."""
        commands = list(self.fleet.proposed)[:kept]
        self.fleet.elect()
        for command in commands:
            self.fleet.commit(command)

    @invariant()
    def runs_once(self) -> None:
        """Check that no task runs at two workers at once."""
        running = [
            task
            for model in self.fleet.workers.values()
            for task in model.running
        ]
        assert len(running) == len(set(running))
