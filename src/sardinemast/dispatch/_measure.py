"""Measure the loads of all pools, now and then."""

from sardinemast.dispatch._contact import Contact
from sardinemast.dispatch._loads import NO_LOAD, PoolLoad
from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import StepState

# Short against the second or two that a move takes, long against the time
# that the measure itself takes.
MEASURE_EVERY_S = 0.15


def measure_pools(state: DispatchState, now_s: float) -> dict[str, PoolLoad]:
    """Give the load of each pool that has workers or work."""
    loads: dict[str, PoolLoad] = {}
    for contact in state.contacts.values():
        pool = contact.worker.pool
        load = loads.get(pool, NO_LOAD)
        loads[pool] = _add_contact(state, load, contact, now_s)
    for step in state.jobs.ready.values():
        pool = state.jobs.get_queue(step).pool
        loads[pool] = _add_step(loads.get(pool, NO_LOAD), step)
    return loads


def _add_contact(
    state: DispatchState,
    load: PoolLoad,
    contact: Contact,
    now_s: float,
) -> PoolLoad:
    worker = contact.worker
    runs = state.get_runs(worker.name)
    if not contact.is_usable(now_s, has_runs=bool(runs)):
        # A resting one is back in a moment, from maintenance.
        return load._replace(workers=load.workers + contact.is_resting)
    free = state.jobs.get_free(worker).millicores
    return load._replace(
        room=load.room + worker.room.millicores,
        free=load.free + max(free, 0),
        workers=load.workers + 1,
        empty=load.empty if runs else (*load.empty, worker),
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
