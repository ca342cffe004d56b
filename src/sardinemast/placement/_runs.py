"""Ends of runs, and what becomes of their jobs and workers."""

from sardinemast.placement import commands
from sardinemast.placement._learned import LearnedKind
from sardinemast.placement._records import (
    FINAL,
    Job,
    JobStatus,
    Run,
    RunResult,
    Size,
    WorkerStatus,
)
from sardinemast.placement._state import PlacementState

DISTINCT_FAILURES = 3
_KEPT_FAILURES = 8
_MAX_GROWTH = 16


def end_all_runs(state: PlacementState, worker: str) -> None:
    """End all runs of a worker; their jobs wait again."""
    for token in tuple(state.by_worker[worker]):
        run = state.runs[token]
        state.remove_run(run)
        _let_wait(state, state.jobs[run.job], token)


def end_run(
    state: PlacementState,
    run: Run,
    end: commands.RunEnd,
) -> None:
    """End a run and decide what becomes of its job."""
    state.remove_run(run)
    job = state.jobs[run.job]
    if end.result is RunResult.succeeded:
        _note_success(state, job, run, end.peak)
    elif end.result is RunResult.failed:
        _note_failure(state, job, run)
    elif end.result is RunResult.out_of_memory:
        _note_growth(state, job, run.token)
    else:
        _let_wait(state, job, run.token)


def _note_success(
    state: PlacementState,
    job: Job,
    run: Run,
    peak: Size,
) -> None:
    known = state.learned.get((job.team, job.kind))
    learned = known or LearnedKind(job.team, job.kind)
    state.learned[(job.team, job.kind)] = learned.note(peak)
    worker = state.workers[run.worker]
    if worker.failed and worker.status is not WorkerStatus.set_aside:
        state.put_worker(worker._replace(failed=()))
    if job.status not in FINAL:
        state.put_job(job._replace(status=JobStatus.done))


def _note_failure(state: PlacementState, job: Job, run: Run) -> None:
    worker = state.workers[run.worker]
    failed = (*(one for one in worker.failed if one != job.name), job.name)
    state.put_worker(worker._replace(failed=failed[-_KEPT_FAILURES:]))
    others = tuple(one for one in job.failed_on if one != worker.name)
    job = job._replace(failed_on=(*others, worker.name))
    state.put_job(job)
    if job.status in FINAL or job.is_cancelled:
        _let_wait(state, job, run.token)
    elif len(job.failed_on) >= DISTINCT_FAILURES:
        set_aside(state, job, f'failed on {", ".join(job.failed_on)}')
    else:
        _let_wait(state, job, run.token)


def _note_growth(state: PlacementState, job: Job, token: int) -> None:
    grown = job._replace(growth=min(job.growth * 2, _MAX_GROWTH))
    if job.status not in FINAL:
        state.put_job(grown)
    _let_wait(state, state.jobs[job.name], token)


def _let_wait(state: PlacementState, job: Job, token: int) -> None:
    """Let a job whose run ended wait again, unless it is over."""
    if job.status in FINAL:
        return
    if job.is_cancelled:
        if job.name not in state.by_job:
            state.put_job(job._replace(status=JobStatus.cancelled))
    elif job.token == token:
        state.put_job(job._replace(status=JobStatus.waiting))


def set_aside(state: PlacementState, job: Job, reason: str) -> None:
    """End a job that can not run, with the reason."""
    state.put_job(job._replace(status=JobStatus.set_aside, reason=reason))


def cancel(state: PlacementState, job: Job) -> None:
    """Cancel a job; one that may still run is stopped first."""
    if job.status in FINAL:
        return
    is_running = job.name in state.by_job
    status = JobStatus.stopping if is_running else JobStatus.cancelled
    state.put_job(job._replace(status=status, is_cancelled=True))
