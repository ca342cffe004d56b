"""Measure the loads of all pools, now and then."""

from sardinemast.dispatch._loads import NO_LOAD, PoolLoad
from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import StepState

# Short against the second or two that a move takes, long against the time
# that the measure itself takes.
MEASURE_EVERY_S = 0.15


def measure_pools(state: DispatchState, now_s: float) -> dict[str, PoolLoad]:
    """Give the load of each pool that has workers or work."""
    loads: dict[str, PoolLoad] = {}
    for name, contact in state.contacts.items():
        runs = state.get_runs(name)
        if not contact.is_usable(now_s, has_runs=bool(runs)):
            continue
        worker = contact.worker
        load = loads.get(worker.pool, NO_LOAD)
        free = state.jobs.get_free(worker).millicores
        loads[worker.pool] = load._replace(
            room=load.room + worker.room.millicores,
            free=load.free + max(free, 0),
            empty=load.empty if runs else (*load.empty, worker),
        )
    for step in state.jobs.ready.values():
        pool = state.jobs.jobs[step.key.job].queue.pool
        load = loads.get(pool, NO_LOAD)
        loads[pool] = load._replace(wanted=load.wanted + _get_wanted(step))
    return loads


def _get_wanted(step: StepState) -> int:
    if step.step.is_filler:
        return 0
    return len(step.waiting) * step.step.size.millicores
