"""Check that tasks run once while restarted workers execute earlier orders."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from builders.election_rules import ElectionRules
from builders.workers import LONGEST_DELAY_S, ModelFleet, make_step, make_worker
from sardinemast.dispatch import WorkerContested

pytestmark = pytest.mark.fuzz
_WORKERS = 3
_NUMBERS = st.integers(0, _WORKERS - 1)
# By then the clocks of the first boots show more than the longest lease.
_IDLE_S = 20.0
_IDLE_STEP_S = 0.5
_STEP_S = 0.1
_RATES = (0.98, 1)


class EarlierBootsMachine(ElectionRules):
    """Restart workers while orders are under way, and cut them off."""

    def __init__(self) -> None:
        super().__init__(0)

    @initialize(rate=st.sampled_from(_RATES))
    def add_workers(self, rate: float) -> None:
        """Add workers that have been idle for long."""
        for number in range(_WORKERS):
            self.fleet.add_worker(make_worker(number), rate)
        self.fleet.run(_IDLE_S, _IDLE_STEP_S)

    @rule()
    def submit(self) -> None:
        """Submit a task, whose start is under way unless commits are held."""
        self.jobs += 1
        self.fleet.submit(f'job-{self.jobs}', make_step())

    @rule(count=st.integers(0, 2))
    def delay_starts(self, count: int) -> None:
        """Delay the next starts, which arrive late or never."""
        self.fleet.starts_to_lose = count

    @rule(
        late_s=st.sampled_from([0, 0, 2.0, LONGEST_DELAY_S]),
        heard_s=st.sampled_from([0, 0.3, 1.5, 3.0]),
        cut_s=st.sampled_from([0, 3.0, 7.0]),
        is_leader_lost=st.booleans(),
    )
    def restart_starting(
        self,
        late_s: float,
        heard_s: float,
        cut_s: float,
        *,
        is_leader_lost: bool,
    ) -> None:
        """Restart a worker that then executes a start; cut it off later."""
        sent = len(self.fleet.started)
        self.fleet.starts_to_lose = 1
        self.submit()
        if len(self.fleet.started) == sent:
            return
        name = self.fleet.started[sent].worker.name
        self.fleet.workers[name].is_unreachable = True
        self.wait(late_s)
        self._restart(int(name[-1]), is_announced=False)
        self.fleet.execute_any_late(-1)
        if heard_s:
            self.announce(int(name[-1]))
            self.wait(heard_s)
        if is_leader_lost:
            self.fleet.elect()
        self.fleet.workers[name].is_unreachable = True
        self.wait(cut_s)

    @rule(number=_NUMBERS, is_announced=st.booleans())
    def restart_any(self, number: int, *, is_announced: bool) -> None:
        """Restart a worker, which executes the orders under way."""
        self._restart(number, is_announced=is_announced)

    @rule(number=_NUMBERS)
    def announce(self, number: int) -> None:
        """Let a worker announce itself."""
        self.fleet.announce(self.fleet.workers[f'w-{number}'])

    @rule(index=st.integers(0, 50))
    def execute_late_order(self, index: int) -> None:
        """Execute an unanswered order late."""
        self.fleet.execute_any_late(index)

    @rule(number=_NUMBERS)
    def cut_off(self, number: int) -> None:
        """Disconnect a worker."""
        self.fleet.workers[f'w-{number}'].is_unreachable = True

    @rule()
    def reconnect_all(self) -> None:
        """Reconnect all workers, which announce themselves."""
        for model in self.fleet.workers.values():
            model.is_unreachable = False
            self.fleet.announce(model)

    @rule(number=_NUMBERS)
    def contest(self, number: int) -> None:
        """Let another worker claim the place of a worker."""
        self.fleet.deliver(WorkerContested(f'w-{number}'))

    @rule(number=_NUMBERS)
    def toggle_full(self, number: int) -> None:
        """Let a worker refuse starts for want of room, or accept them."""
        model = self.fleet.workers[f'w-{number}']
        model.is_full = not model.is_full

    @rule(number=_NUMBERS)
    def end_run(self, number: int) -> None:
        """End a run on a worker."""
        model = self.fleet.workers[f'w-{number}']
        if model.running:
            model.end(next(iter(model.running)), 'done')

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.5, 3.0, 7.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / _STEP_S)):
            self.fleet.run(_STEP_S, _STEP_S)
            self.runs_once()

    def teardown(self) -> None:
        """Check that all tasks end once all workers are healthy."""
        fleet = self.fleet
        fleet.is_held = False
        fleet.commit_held()
        fleet.starts_to_lose = 0
        for model in fleet.workers.values():
            model.is_unreachable = False
            model.is_full = False
            fleet.announce(model)
        self._end_all(fleet)
        assert not fleet.state.live

    def _restart(self, number: int, *, is_announced: bool) -> None:
        self.fleet.drop_voided_starts(f'w-{number}')
        model = self.fleet.restart_silently(number)
        if is_announced:
            self.fleet.announce(model)

    def _end_all(self, fleet: ModelFleet) -> None:
        for _ in range(30):
            fleet.run(1, _STEP_S)
            for model in fleet.workers.values():
                for task in tuple(model.running):
                    model.end(task, 'done')


TestEarlierBoots = EarlierBootsMachine.TestCase
TestEarlierBoots.settings = settings(
    stateful_step_count=20,
    max_examples=150,
    deadline=None,
)
