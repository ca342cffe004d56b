"""Test planning when far more tasks wait than a pool has capacity for."""

from collections import Counter

import pytest

from builders.workers import QUEUE, make_catalog, make_step, make_worker
from sardinemast.dispatch._planner import Planner
from sardinemast.jobs import JobRequest, JobsState, Size, apply_command
from sardinemast.jobs.commands import (
    PutCatalog,
    RecordRuns,
    RegisterWorker,
    RunStart,
    SubmitJob,
)

_WORKERS = 45
_CORES = 64
_WIDE = Size(13_000, 1)
_STEPS = 200


def _make_state(worker_count: int = _WORKERS) -> JobsState:
    state = JobsState()
    apply_command(PutCatalog(make_catalog(), b''), state, 1)
    for number in range(worker_count):
        worker = make_worker(number, cores=_CORES)
        apply_command(RegisterWorker(worker), state, 1)
    return state


def _submit(state: JobsState, name: str, count: int, size: Size) -> None:
    request = JobRequest('', (make_step(count, size=size),))
    apply_command(SubmitJob(name, QUEUE, '', request, 0), state, 1)


def _plan(state: JobsState) -> tuple[RunStart, ...]:
    return Planner(
        state,
        lambda worker: True,
        lambda step: (state.get_job(step).log_index,),
        lambda task, worker: False,
        lambda step, worker, planned: True,
    ).choose()


def test_long_running_tasks_are_packed() -> None:
    """Pack long-running tasks, so that other workers can be switched off."""
    state = _make_state()
    step = make_step(
        5, size=Size(6_000, 1), is_long_running=True, max_unavailable=1
    )
    for number in range(4):
        request = JobRequest('spec', (step,))
        submitted = SubmitJob(f'job-{number}', QUEUE, 'breizh', request, 0)
        apply_command(submitted, state, 1)
    starts = _plan(state)
    assert len(starts) == 20
    assert len({start.worker for start in starts}) == 2


def test_full_pool_is_searched_once_per_plan(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Compare only the first of many waiting steps with all full workers.

    Every end of a run leads to a new plan, so plans must be cheap.
    """
    state = _make_state()
    for number in range(_STEPS):
        _submit(state, f'job-{number}', 8, _WIDE)
    apply_command(RecordRuns((), _plan(state)), state, 2)
    calls: Counter[str] = Counter()
    fits = Size.fits

    def count_fits(size: Size, room: Size) -> bool:
        calls['fits'] += 1
        return fits(size, room)

    monkeypatch.setattr(Size, 'fits', count_fits)
    assert not _plan(state)
    assert calls['fits'] < 2 * (_WORKERS + _STEPS)


def test_small_task_starts_after_one_that_does_not_fit() -> None:
    """Start a task that fits although an earlier one does not."""
    state = _make_state(1)
    _submit(state, 'wide', 5, _WIDE)
    _submit(state, 'small', 1, Size(9000, 1))
    starts = [str(start.task) for start in _plan(state)]
    assert starts == [f'wide.0.0.{index}' for index in range(4)] + [
        'small.0.0.0'
    ]


def test_gang_that_does_not_fit_blocks_no_capacity() -> None:
    """Start another task after the attempt to place a gang is rolled back."""
    state = _make_state(1)
    step = make_step(9, size=_WIDE, is_gang=True)
    request = JobRequest('', (step,))
    apply_command(SubmitJob('gang', QUEUE, '', request, 0), state, 1)
    _submit(state, 'wide', 1, _WIDE)
    assert [start.task.job for start in _plan(state)] == ['wide']
