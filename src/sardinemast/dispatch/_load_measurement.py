"""Measure the loads of all pools, now and then."""

from collections import defaultdict

from sardinemast.dispatch._pool_load import PoolLoad
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import Contact
from sardinemast.jobs import StepState, Worker

# Short against the second or two that a move takes, long against the time
# that the measure itself takes.
MEASURE_EVERY_S = 0.15


class _Tally:
    """Sum up one pool."""

    def __init__(self) -> None:
        self.room = 0
        self.free = 0
        self.wanted = 0
        self.passing = 0
        self.workers = 0
        self.empty: list[Worker] = []

    def add_contact(
        self,
        state: DispatchState,
        contact: Contact,
        now_s: float,
    ) -> None:
        worker = contact.worker
        runs = state.get_runs(worker.name)
        if not contact.is_usable(now_s, has_runs=bool(runs)):
            # A resting one is back in a moment, from maintenance.
            self.workers += contact.is_resting
            return
        self.room += worker.capacity.millicores
        self.free += max(state.jobs.get_free(worker).millicores, 0)
        self.workers += 1
        if not runs:
            self.empty.append(worker)

    def add_step(self, step: StepState) -> None:
        if step.spec.is_best_effort:
            return
        millicores = step.spec.size.millicores
        self.wanted += len(step.waiting) * millicores
        if not step.spec.is_long_running:
            self.passing += len(step.running) * millicores

    def sum_up(self) -> PoolLoad:
        return PoolLoad(
            self.room,
            self.free,
            self.wanted,
            self.passing,
            self.workers,
            tuple(self.empty),
        )


def measure_pools(state: DispatchState, now_s: float) -> dict[str, PoolLoad]:
    """Give the load of each pool that has workers or work."""
    tallies: dict[str, _Tally] = defaultdict(_Tally)
    for contact in state.contacts.values():
        tallies[contact.worker.pool].add_contact(state, contact, now_s)
    for step in state.jobs.ready.values():
        tallies[state.jobs.get_queue(step).pool].add_step(step)
    return {pool: tally.sum_up() for pool, tally in tallies.items()}
