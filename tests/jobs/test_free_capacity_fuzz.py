"""Random commands: compare incremental indexes with recomputed ones.

A leader plans by the free capacity of workers, which is updated with each
command. An error would overload workers or leave them idle.
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
_DrawInteger = Callable[[st.SearchStrategy[int]], int]
_KINDS = ('register', 'forget', 'submit', 'cancel', 'start', 'end')


def _draw_worker(draw_integer: _DrawInteger) -> Worker:
    """Return a worker that may share its instance or address."""
    worker = make_worker(draw_integer(_NUMBERS), boot_ms=draw_integer(_BOOTS))
    return worker._replace(
        instance=f'm-{draw_integer(_NUMBERS)}',
        address=f'10.0.0.{draw_integer(_NUMBERS)}:80',
        pool=(POOL, STANDBY)[draw_integer(st.integers(0, 1))],
        capacity=Size(draw_integer(_NUMBERS) * 2000, 1 << 30),
    )


def _draw_start(state: JobsState, draw_integer: _DrawInteger) -> Command:
    waiting = [
        (step, index) for step in state.ready.values() for index in step.waiting
    ]
    if not waiting or not state.workers:
        return RecordRuns((), ())
    step, index = waiting[draw_integer(st.integers(0, len(waiting) - 1))]
    workers = list(state.workers)
    worker = workers[draw_integer(st.integers(0, len(workers) - 1))]
    task, number = step.get_task(index), step.get_next_run_number(index)
    return RecordRuns((), (RunStart(task, number, worker),))


def _draw_end(state: JobsState, draw_integer: _DrawInteger) -> Command:
    running = [one for runs in state.runs.values() for one in runs.items()]
    if not running:
        return RecordRuns((), ())
    task, number = running[draw_integer(st.integers(0, len(running) - 1))]
    end = tuple(RunEnd)[draw_integer(st.integers(0, 2))]
    return RecordRuns((FinishedRun(task, number, end),), ())


def _draw(kind: str, state: JobsState, draw_integer: _DrawInteger) -> Command:
    if kind == 'register':
        return RegisterWorker(_draw_worker(draw_integer))
    if kind == 'forget':
        return ForgetWorker(f'w-{draw_integer(_NUMBERS)}', draw_integer(_BOOTS))
    if kind == 'submit':
        request = JobRequest(
            '', (make_step(2), make_step(1, is_best_effort=True))
        )
        return SubmitJob(f'job-{draw_integer(_NUMBERS)}', QUEUE, '', request, 1)
    if kind == 'cancel':
        return CancelJob(f'job-{draw_integer(_NUMBERS)}')
    if kind == 'start':
        return _draw_start(state, draw_integer)
    return _draw_end(state, draw_integer)


def _check_indexes(state: JobsState) -> None:
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
def test_incremental_indexes_equal_recomputed_ones(
    drawn: st.DataObject,
) -> None:
    """Indexes must stay correct for any commands and after a snapshot."""
    state = JobsState()
    apply_command(PutCatalog(make_catalog(), b'{}'), state, 1)
    kinds = drawn.draw(st.lists(st.sampled_from(_KINDS), max_size=30))
    for index, kind in enumerate(kinds, start=2):
        apply_command(_draw(kind, state, drawn.draw), state, index)
        _check_indexes(state)
    _check_indexes(load_state(dump_state(state)))
