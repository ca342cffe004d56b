"""Apply commands from the log to the state of jobs."""

from functools import singledispatch

from sardinemast.jobs import commands
from sardinemast.jobs._apply_durations import record_durations
from sardinemast.jobs._apply_maintenance import (
    declare_wave,
    record_maintenance,
    record_move,
)
from sardinemast.jobs._apply_preemption import record_preemptions
from sardinemast.jobs._instance_records import merge_records
from sardinemast.jobs._records import (
    Run,
    RunEnd,
    Worker,
)
from sardinemast.jobs._state import JobsState, JobState, StepState

# Twice the retention of ended jobs that callers are promised.
JOB_RETENTION_MS = 240_000


@singledispatch
def apply_command(
    command: commands.Command,
    state: JobsState,
    log_index: int,
) -> None:
    """Apply the command at the log index; ignore stale commands."""
    raise TypeError(command)


@apply_command.register
def _apply_catalog(
    command: commands.PutCatalog,
    state: JobsState,
    log_index: int,
) -> None:
    if command.catalog.version > state.catalog.version:
        state.put_catalog(command.catalog, command.source)


@apply_command.register
def _apply_submission(
    command: commands.SubmitJob,
    state: JobsState,
    log_index: int,
) -> None:
    queue = state.queues.get(command.queue)
    if command.name in state.jobs or queue is None:
        return
    _expire_jobs(state, command.submitted_ms)
    job = JobState(
        command.name,
        queue,
        command.team,
        command.request,
        log_index,
        # A job that was refused before is ordered by its first arrival.
        command.first_seen_ms or command.submitted_ms,
    )
    job.is_within_rate = state.teams.take_token(job)
    state.jobs[job.name] = job
    state.live[job.name] = job
    if not job.request.occurrences:
        _start_occurrence(state, job, 0)


@apply_command.register
def _apply_cancellation(
    command: commands.CancelJob,
    state: JobsState,
    log_index: int,
) -> None:
    job = state.jobs.get(command.name)
    if job is not None and not job.is_over:
        job.is_cancelled = True
        _finish_job(state, job)


@apply_command.register
def _apply_occurrence(
    command: commands.OpenOccurrence,
    state: JobsState,
    log_index: int,
) -> None:
    job = state.jobs.get(command.job)
    if job is None or job.is_over or command.occurrence in job.steps:
        return
    _start_occurrence(state, job, command.occurrence)


@apply_command.register
def _apply_registration(
    command: commands.RegisterWorker,
    state: JobsState,
    log_index: int,
) -> None:
    worker = command.worker
    known = state.workers.get(worker.name)
    if known is not None and known.boot_ms > worker.boot_ms:
        return
    # Runs of an earlier boot stay until the leader has polled the worker: a
    # start order that was in flight may have reached the new boot.
    state.put_worker(worker)
    # An instance or address has one worker at a time. Drop replaced workers
    # now, so that their tasks restart before the old lease expires.
    for other in state.worker_index.list_colocated(worker):
        if worker.boot_ms > other.boot_ms:
            _remove_worker(state, other)
    if worker.instance:
        state.home_pools.setdefault(worker.instance, worker.pool)


@apply_command.register
def _apply_worker_removal(
    command: commands.ForgetWorker,
    state: JobsState,
    log_index: int,
) -> None:
    worker = state.workers.get(command.name)
    if worker is None or worker.boot_ms != command.boot_ms:
        return
    _remove_worker(state, worker)


@apply_command.register
def _apply_runs(
    command: commands.RecordRuns,
    state: JobsState,
    log_index: int,
) -> None:
    for finished in command.ends:
        step = state.find_step(finished.task)
        run = step.running.get(finished.task.position) if step else None
        if step and run is not None and run.number == finished.number:
            if finished.checkpoint:
                step.checkpoints[finished.task.position] = finished.checkpoint
            _end_run(state, step, finished.task.position, finished.end)
    for start in command.starts:
        _start_run(state, start)


apply_command.register(commands.DeclareWave, declare_wave)
apply_command.register(commands.NoteUpkeep, record_maintenance)
apply_command.register(commands.NoteMove, record_move)
apply_command.register(commands.NoteDurations, record_durations)
apply_command.register(commands.PreemptRuns, record_preemptions)


@apply_command.register
def _apply_evacuation(
    command: commands.EvacuateDataCentre,
    state: JobsState,
    log_index: int,
) -> None:
    state.data_centres.change(command.data_centre, is_evacuated=True)


@apply_command.register
def _apply_readmission(
    command: commands.ReadmitDataCentre,
    state: JobsState,
    log_index: int,
) -> None:
    state.data_centres.change(command.data_centre, is_evacuated=False)


@apply_command.register
def _apply_evacuated(
    command: commands.NoteEvacuated,
    state: JobsState,
    log_index: int,
) -> None:
    state.data_centres.evacuated = dict.fromkeys(command.data_centres)


@apply_command.register
def _apply_instance_records(
    command: commands.NoteInstanceRecords,
    state: JobsState,
    log_index: int,
) -> None:
    state.instance_records = merge_records(
        state.instance_records, command.records, state.home_pools
    )


def _remove_worker(state: JobsState, worker: Worker) -> None:
    for task in tuple(state.runs.get(worker.name, ())):
        step = state.find_step(task)
        if step is not None:
            _end_run(state, step, task.position, RunEnd.lost)
    state.drop_worker(worker.name)


def _start_occurrence(state: JobsState, job: JobState, occurrence: int) -> None:
    new_steps = job.open_occurrence(occurrence)
    state.ready.update(
        (step.key, step) for step in new_steps if job.is_ready(step)
    )


def _start_run(state: JobsState, start: commands.RunStart) -> None:
    step = state.find_step(start.task)
    index = start.task.position
    if step is None or state.jobs[start.task.job].is_over:
        return
    if start.worker not in state.workers or step.key not in state.ready:
        return
    if step.can_start(index, start.number):
        state.jobs[start.task.job].has_started = True
        state.add_run(step, index, Run(start.number, start.worker))


def _end_run(
    state: JobsState,
    step: StepState,
    index: int,
    end: RunEnd,
) -> None:
    state.remove_run(step, index)
    job = state.get_job(step)
    if job.is_over:
        return
    if end is RunEnd.done and not step.spec.is_long_running:
        _finish_task(state, job, step, index)
        return
    step.waiting[index] = None
    if end is RunEnd.failed and not step.spec.is_long_running:
        _record_failure(state, job, step, index)


def _finish_task(
    state: JobsState,
    job: JobState,
    step: StepState,
    index: int,
) -> None:
    step.done.add(index)
    step.checkpoints.pop(index, None)
    if step.spec.is_gang:
        # The members of a gang finish together, so one end ends them all.
        for member in tuple(step.running):
            state.remove_run(step, member)
        step.done.update(range(step.spec.task_count))
        step.waiting.clear()
    if step.is_done:
        state.ready.pop(step.key, None)
        _advance_job(state, job, step)


def _advance_job(state: JobsState, job: JobState, ended: StepState) -> None:
    steps = job.steps[ended.key.occurrence]
    for step in steps:
        if not step.is_done and job.is_ready(step):
            state.ready.setdefault(step.key, step)
    occurrence_count = max(job.request.occurrences, 1)
    if len(job.steps) == occurrence_count:
        job.is_done = all(one.is_done for one in job.iterate_steps())
        if job.is_done:
            _finish_job(state, job)


def _record_failure(
    state: JobsState,
    job: JobState,
    step: StepState,
    index: int,
) -> None:
    # A gang fails as a whole: count one failure for each run number. Key -1
    # holds the number of the last run that was counted.
    failure_key = 0 if step.spec.is_gang else index
    number = step.run_numbers[index]
    if step.spec.is_gang and step.failures.get(-1) == number:
        return
    step.failures[-1] = number
    step.failures[failure_key] = step.failures.get(failure_key, 0) + 1
    if step.failures[failure_key] >= job.queue.max_attempts:
        job.is_failed = True
        _finish_job(state, job)


def _finish_job(state: JobsState, job: JobState) -> None:
    state.live.pop(job.name, None)
    state.ended[job.name] = None
    for step in job.iterate_steps():
        step.waiting.clear()
        state.ready.pop(step.key, None)


def _expire_jobs(state: JobsState, now_ms: int) -> None:
    # ``ended`` is ordered by end. A job at its head that was submitted late
    # or still has runs may keep expired jobs behind it a little longer.
    for name in tuple(state.ended):
        job = state.jobs[name]
        if job.submitted_ms + JOB_RETENTION_MS > now_ms:
            return
        if any(step.running for step in job.iterate_steps()):
            return
        state.ended.pop(name)
        state.jobs.pop(name)
