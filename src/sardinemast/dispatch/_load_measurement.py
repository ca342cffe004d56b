"""Measure the load of all pools."""

from collections import Counter, defaultdict
from collections.abc import Mapping

from sardinemast.dispatch._eligibility import fits_team_cap
from sardinemast.dispatch._long_running_waits import LongRunningWaits
from sardinemast.dispatch._pool_load import PoolLoad
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import WorkerSession
from sardinemast.jobs import Size, StepState, Worker

# Short compared to a move of an instance, which takes one or two seconds, and
# long compared to the measurement itself.
MEASURE_INTERVAL_S = 0.15
# A task that waits longer was not placed as soon as others ended.
_STRANDED_AFTER_S = 1.0


class _PoolTally:
    """Add up the load of one pool."""

    def __init__(self) -> None:
        self.capacity = 0
        self.free = 0
        self.queued = 0
        self.batch = 0
        self.workers = 0
        self.idle_workers: list[Worker] = []

    def add_session(
        self,
        state: DispatchState,
        session: WorkerSession,
        now_s: float,
    ) -> None:
        worker = session.worker
        if state.is_evacuated(worker) or state.suspected.is_lost(worker.name):
            return
        runs = state.get_runs(worker.name)
        if not session.is_usable(now_s, has_runs=bool(runs)):
            # A cordoned worker counts, since it returns after maintenance.
            self.workers += session.is_cordoned
            return
        self.capacity += worker.capacity.millicores
        self.free += max(state.jobs.get_free(worker).millicores, 0)
        self.workers += 1
        if not runs:
            self.idle_workers.append(worker)

    def add_step(self, step: StepState) -> None:
        if step.spec.is_best_effort:
            return
        millicores = step.spec.size.millicores
        self.queued += len(step.waiting) * millicores
        if not step.spec.is_long_running:
            self.batch += len(step.running) * millicores

    def make_load(self) -> PoolLoad:
        return PoolLoad(
            self.capacity,
            self.free,
            self.queued,
            self.batch,
            self.workers,
            tuple(self.idle_workers),
        )


def measure_stranded(
    state: DispatchState, waits: LongRunningWaits, now_s: float
) -> Counter[str]:
    """Return the millicores of long-running tasks without room, by pool.

    Such a task does not wait for other tasks to end: these may be long-running
    too, and it should be away for a few seconds at most.
    """
    stranded: Counter[str] = Counter()
    lacks_room: dict[tuple[str, Size], bool] = {}
    for task in waits.list_waiting(now_s, _STRANDED_AFTER_S):
        step = state.jobs.find_step(task)
        if step is None or not _fits_cap(state, step):
            continue
        pool, size = state.jobs.get_queue(step).pool, step.spec.reserved_size
        if (pool, size) not in lacks_room:
            lacks_room[pool, size] = _lacks_room(state, pool, size, now_s)
        if lacks_room[pool, size]:
            stranded[pool] += size.millicores
    return stranded


def measure_loads(
    state: DispatchState, stranded: Mapping[str, int], now_s: float
) -> dict[str, PoolLoad]:
    """Return the load of each pool that has workers or ready steps."""
    tallies: dict[str, _PoolTally] = defaultdict(_PoolTally)
    for session in state.sessions.values():
        tallies[session.worker.pool].add_session(state, session, now_s)
    for step in state.jobs.ready.values():
        tallies[state.jobs.get_queue(step).pool].add_step(step)
    return {
        pool: tally.make_load()._replace(stranded=stranded.get(pool, 0))
        for pool, tally in tallies.items()
    }


def _fits_cap(state: DispatchState, step: StepState) -> bool:
    return fits_team_cap(state.jobs, step, state.jobs.usage.by_team)


def _lacks_room(
    state: DispatchState, pool: str, size: Size, now_s: float
) -> bool:
    """Check that no usable worker has room now, but an empty one would."""
    if not any(
        size.fits(session.worker.capacity)
        for session in state.sessions.values()
        if session.worker.pool == pool
    ):
        return False
    return next(state.iterate_usable(pool, size, now_s), None) is None
