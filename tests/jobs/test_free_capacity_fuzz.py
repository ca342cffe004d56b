"""Random histories: the kept picture of workers against one made anew.

A leader plans by what each worker has free, kept up to date with each command.
Off by one run, a worker would be refused work that it has room for, or be
given what it must refuse.
"""

from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from builders.workers import (
    POOL,
    QUEUE,
    STANDBY,
    make_catalog,
    make_step,
    make_worker,
)
from sardinemast.jobs import (
    ZERO_SIZE,
    JobRequest,
    JobsState,
    RunEnd,
    Size,
    Worker,
    apply_command,
    dump_state,
    load_state,
)
from sardinemast.jobs.commands import (
    CancelJob,
    Command,
    FinishedRun,
    ForgetWorker,
    PutCatalog,
    RecordRuns,
    RegisterWorker,
    RunStart,
    SubmitJob,
)

_NUMBERS = st.integers(0, 3)
_BOOTS = st.integers(1, 3)
_Choose = Callable[[st.SearchStrategy[int]], int]
_KINDS = ('register', 'forget', 'submit', 'cancel', 'start', 'end')


def _draw_worker(choose: _Choose) -> Worker:
    """Give one that may share instance or address with another one."""
    worker = make_worker(choose(_NUMBERS), boot_ms=choose(_BOOTS))
    return worker._replace(
        instance=f'm-{choose(_NUMBERS)}',
        address=f'10.0.0.{choose(_NUMBERS)}:80',
        pool=(POOL, STANDBY)[choose(st.integers(0, 1))],
        capacity=Size(choose(_NUMBERS) * 2000, 1 << 30),
    )


def _draw_start(state: JobsState, choose: _Choose) -> Command:
    waiting = [
        (step, index) for step in state.ready.values() for index in step.waiting
    ]
    if not waiting or not state.workers:
        return RecordRuns((), ())
    step, index = waiting[choose(st.integers(0, len(waiting) - 1))]
    workers = list(state.workers)
    worker = workers[choose(st.integers(0, len(workers) - 1))]
    task, number = step.get_task(index), step.get_next_number(index)
    return RecordRuns((), (RunStart(task, number, worker),))


def _draw_end(state: JobsState, choose: _Choose) -> Command:
    running = [one for runs in state.runs.values() for one in runs.items()]
    if not running:
        return RecordRuns((), ())
    task, number = running[choose(st.integers(0, len(running) - 1))]
    end = tuple(RunEnd)[choose(st.integers(0, 2))]
    return RecordRuns((FinishedRun(task, number, end),), ())


def _draw(kind: str, state: JobsState, choose: _Choose) -> Command:
    if kind == 'register':
        return RegisterWorker(_draw_worker(choose))
    if kind == 'forget':
        return ForgetWorker(f'w-{choose(_NUMBERS)}', choose(_BOOTS))
    if kind == 'submit':
        request = JobRequest(
            '', (make_step(2), make_step(1, is_best_effort=True))
        )
        return SubmitJob(f'job-{choose(_NUMBERS)}', QUEUE, '', request, 1)
    if kind == 'cancel':
        return CancelJob(f'job-{choose(_NUMBERS)}')
    if kind == 'start':
        return _draw_start(state, choose)
    return _draw_end(state, choose)


def _check(state: JobsState) -> None:
    free = {
        name: worker.capacity.plus(
            state.usage.by_worker.get(name, ZERO_SIZE), -1
        )
        for name, worker in state.workers.items()
    }
    for name in free:
        assert state.usage.free.get(name) == free[name]
    for pool in (POOL, STANDBY):
        ordered = sorted(
            (free[name].millicores, name)
            for name, worker in state.workers.items()
            if worker.pool == pool
        )
        names = [name for _, name in ordered]
        assert state.usage.free.list_workers(pool) == names
        wanted = Size(1000, 1)
        fitting = [name for name in names if wanted.fits(free[name])]
        assert list(state.usage.free.iterate_fitting(pool, wanted)) == fitting
    for number in range(4):
        found = {
            worker.name
            for worker in state.worker_index.list_on_instance(f'm-{number}')
        }
        assert found == {
            name
            for name, worker in state.workers.items()
            if worker.instance == f'm-{number}'
        }


@pytest.mark.fuzz
@settings(max_examples=150)
@given(st.data())
def test_kept_picture_is_that_made_anew(drawn: st.DataObject) -> None:
    """Whatever comes in whatever order, also after a snapshot."""
    state = JobsState()
    apply_command(PutCatalog(make_catalog(), b'{}'), state, 1)
    kinds = drawn.draw(st.lists(st.sampled_from(_KINDS), max_size=30))
    for index, kind in enumerate(kinds, start=2):
        apply_command(_draw(kind, state, drawn.draw), state, index)
        _check(state)
    _check(load_state(dump_state(state)))
