"""Hypothesis rules for random leader changes."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from builders.workers import SETTINGS, ModelFleet
from sardinemast.dispatch import DispatchSettings


class ElectionRules(RuleBasedStateMachine):
    """Change leaders, delay commits and check that tasks run once."""

    def __init__(
        self,
        worker_count: int,
        settings: DispatchSettings = SETTINGS,
    ) -> None:
        super().__init__()
        self.fleet = ModelFleet(worker_count, settings)
        self.last_boot_ms = 1
        self.jobs = 0

    @initialize(ends_per_report=st.integers(1, 3))
    def cut_reports(self, ends_per_report: int) -> None:
        """Let workers list only a few ends in each report."""
        self.fleet.ends_per_report = ends_per_report
        for model in self.fleet.workers.values():
            model.ends_per_report = ends_per_report

    @rule()
    def hold(self) -> None:
        """Hold proposals, or release and commit those that are held."""
        self.fleet.is_held = not self.fleet.is_held
        if not self.fleet.is_held:
            self.fleet.commit_held()

    @rule(kept=st.integers(0, 3))
    def elect(self, kept: int) -> None:
        """Elect a new leader; commit the first ``kept`` held proposals."""
        commands = list(self.fleet.proposed)[:kept]
        self.fleet.elect()
        for command in commands:
            self.fleet.commit(command)

    @invariant()
    def keeps_acknowledged_ends(self) -> None:
        """Check that a task whose end was acknowledged never runs again.

        Long-running tasks run again however they end.
        """
        for model in self.fleet.workers.values():
            for task in model.acknowledged:
                step = self.fleet.state.find_step(task)
                if step is not None and not step.spec.is_long_running:
                    assert task.position not in step.waiting
                    assert task.position not in step.running

    @invariant()
    def runs_once(self) -> None:
        """Check that no task runs on two workers at once."""
        running = [
            task
            for model in self.fleet.workers.values()
            for task in model.running
        ]
        assert len(running) == len(set(running))
