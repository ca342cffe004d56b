"""Measure the loads of all pools, now and then."""

from sardinemast.dispatch._loads import NO_LOAD, PoolLoad
from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import StepState, Worker

# Short against the second or two that a move takes, long against the time
# that the measure itself takes.
MEASURE_EVERY_S = 0.15


def measure_pools(state: DispatchState, now_s: float) -> dict[str, PoolLoad]:
    """Give the load of each pool that has workers or work."""
    loads: dict[str, PoolLoad] = {}
    for name, contact in state.contacts.items():
        runs = state.get_runs(name)
        worker = contact.worker
        load = loads.get(worker.pool, NO_LOAD)
        if contact.is_usable(now_s, has_runs=bool(runs)):
            free = state.jobs.get_free(worker).millicores
            load = _add_worker(load, worker, free, is_empty=not runs)
        elif contact.is_resting:
            # It is back in a moment, from maintenance.
            load = load._replace(workers=load.workers + 1)
        loads[worker.pool] = load
    for step in state.jobs.ready.values():
        pool = state.jobs.jobs[step.key.job].queue.pool
        loads[pool] = _add_step(loads.get(pool, NO_LOAD), step)
    return loads


def _add_worker(
    load: PoolLoad,
    worker: Worker,
    free: int,
    *,
    is_empty: bool,
) -> PoolLoad:
    return load._replace(
        room=load.room + worker.room.millicores,
        free=load.free + max(free, 0),
        workers=load.workers + 1,
        empty=(*load.empty, worker) if is_empty else load.empty,
    )


def _add_step(load: PoolLoad, step: StepState) -> PoolLoad:
    if step.step.is_filler:
        return load
    millicores = step.step.size.millicores
    passing = 0 if step.step.is_lasting else len(step.running)
    return load._replace(
        wanted=load.wanted + len(step.waiting) * millicores,
        passing=load.passing + passing * millicores,
    )
