"""Apply commands to the state of placement."""

from functools import singledispatch

from sardinemast.placement import commands
from sardinemast.placement._checks import (
    MAX_PLACEMENTS,
    get_worker,
    may_place,
    may_set_aside,
)
from sardinemast.placement._records import (
    FINAL,
    Job,
    JobStatus,
    Run,
    Worker,
    WorkerStatus,
)
from sardinemast.placement._runs import (
    cancel,
    end_all_runs,
    end_run,
    set_aside,
)
from sardinemast.placement._state import PlacementState

_THROTTLE_DIVISOR = 4


def apply_command(
    state: PlacementState,
    command: commands.Command,
    index: int,
) -> None:
    """Change the state by the command at the index.

    What is stale does nothing.
    """
    state.log_index = index
    _apply(command, state, index)
    state.drop_oldest()


@singledispatch
def _apply(
    command: commands.Command,
    state: PlacementState,
    index: int,
) -> None:
    raise TypeError(command)


@_apply.register
def _apply_teams(
    command: commands.SetTeams,
    state: PlacementState,
    index: int,
) -> None:
    state.teams = {team.name: team for team in command.teams}


@_apply.register
def _apply_entered(
    command: commands.EnterWorker,
    state: PlacementState,
    index: int,
) -> None:
    known = state.workers.get(command.name)
    if known is not None and known.incarnation >= command.incarnation:
        return
    # Its lease had lapsed, or it was started anew: either way it has stopped
    # everything that it ran before it took the new incarnation.
    if known is not None:
        end_all_runs(state, known.name)
    is_aside = known is not None and known.status is WorkerStatus.set_aside
    state.put_worker(
        Worker(
            *command,
            status=WorkerStatus.set_aside if is_aside else WorkerStatus.ready,
            is_draining=known is not None and known.is_draining,
            failed=known.failed if known else (),
            reason=known.reason if known else '',
        ),
    )


@_apply.register
def _apply_lost(
    command: commands.LoseWorker,
    state: PlacementState,
    index: int,
) -> None:
    worker = get_worker(state, command.name, command.incarnation)
    if worker is None or worker.status is WorkerStatus.lost:
        return
    if worker.status is not WorkerStatus.set_aside:
        state.put_worker(worker._replace(status=WorkerStatus.lost))
    for token in tuple(state.by_worker[worker.name]):
        job = state.jobs[state.runs[token].job]
        # Only a job that may run twice at once goes elsewhere before the
        # lost worker's lease has surely ended.
        if job.may_overlap and job.token == token and not job.is_cancelled:
            state.put_job(job._replace(status=JobStatus.waiting))


@_apply.register
def _apply_recovery(
    command: commands.RecoverWorker,
    state: PlacementState,
    index: int,
) -> None:
    worker = get_worker(state, command.name, command.incarnation)
    if worker is None or worker.is_lease_ended:
        return
    if worker.status is WorkerStatus.lost:
        state.put_worker(worker._replace(status=WorkerStatus.ready))


@_apply.register
def _apply_lease_end(
    command: commands.EndWorkerLease,
    state: PlacementState,
    index: int,
) -> None:
    worker = get_worker(state, command.name, command.incarnation)
    if worker is not None:
        end_all_runs(state, worker.name)
        # The worker comes back with a new incarnation; a start that is still
        # on its way to the old one is refused there.
        if worker.status is not WorkerStatus.set_aside:
            worker = worker._replace(status=WorkerStatus.lost)
        state.put_worker(worker._replace(is_lease_ended=True))


@_apply.register
def _apply_drain(
    command: commands.DrainWorker,
    state: PlacementState,
    index: int,
) -> None:
    worker = state.workers.get(command.name)
    if worker is not None:
        state.put_worker(worker._replace(is_draining=not command.is_over))


@_apply.register
def _apply_aside(
    command: commands.SetWorkerAside,
    state: PlacementState,
    index: int,
) -> None:
    worker = get_worker(state, command.name, command.incarnation)
    if worker is None or not may_set_aside(state):
        return
    state.put_worker(
        worker._replace(
            status=WorkerStatus.set_aside,
            reason=command.reason,
        ),
    )


@_apply.register
def _apply_readmission(
    command: commands.ReadmitWorker,
    state: PlacementState,
    index: int,
) -> None:
    worker = state.workers.get(command.name)
    if worker is not None and worker.status is WorkerStatus.set_aside:
        # It is lost until it enters with an incarnation of its own.
        state.put_worker(
            worker._replace(status=WorkerStatus.lost, failed=(), reason=''),
        )


@_apply.register
def _apply_submission(
    command: commands.SubmitJobs,
    state: PlacementState,
    index: int,
) -> None:
    for request in command.jobs:
        if request.name not in state.jobs:
            state.put_job(
                Job(
                    request.name,
                    request.team,
                    request.kind,
                    request.priority,
                    request.declared,
                    index,
                    request.may_overlap,
                    request.can_checkpoint,
                    request.group,
                ),
            )


@_apply.register
def _apply_cancellation(
    command: commands.CancelJobs,
    state: PlacementState,
    index: int,
) -> None:
    named = [state.jobs[name] for name in command.jobs if name in state.jobs]
    if command.team:
        named.extend(
            job
            for job in state.jobs.values()
            if job.team == command.team
            and command.kind in {'', job.kind}
            and job.status not in FINAL
        )
    for job in named:
        cancel(state, job)


@_apply.register
def _apply_placements(
    command: commands.PlaceJobs,
    state: PlacementState,
    index: int,
) -> None:
    # A token is the log index and the position, so that it grows with each
    # run and is one run's alone.
    for position, placement in enumerate(command.placements):
        if may_place(state, placement):
            token = index * MAX_PLACEMENTS + position
            run = Run(
                placement.job,
                token,
                placement.worker,
                placement.incarnation,
                placement.size,
            )
            state.add_run(run)
            job = state.jobs[placement.job]
            state.put_job(
                job._replace(status=JobStatus.running, token=token),
            )


@_apply.register
def _apply_ends(
    command: commands.EndRuns,
    state: PlacementState,
    index: int,
) -> None:
    for end in command.ends:
        run = state.runs.get(end.token)
        if run is not None and run.job == end.job:
            end_run(state, run, end)


@_apply.register
def _apply_throttling(
    command: commands.ThrottleRuns,
    state: PlacementState,
    index: int,
) -> None:
    for token in command.tokens:
        run = state.runs.get(token)
        if run is not None and not run.is_throttled:
            state.remove_run(run)
            millicores = run.size.millicores // _THROTTLE_DIVISOR
            size = run.size._replace(millicores=millicores)
            state.add_run(run._replace(size=size, is_throttled=True))


@_apply.register
def _apply_growth(
    command: commands.GrowRuns,
    state: PlacementState,
    index: int,
) -> None:
    # Usage lags and sizes are guesses: what a run was seen to take is taken,
    # even where the worker's room is passed by it. Without this, more runs
    # would be started beside it until they all run out of memory.
    for use in command.uses:
        run = state.runs.get(use.token)
        if run is not None and use.seen.memory_bytes > run.size.memory_bytes:
            size = run.size._replace(memory_bytes=use.seen.memory_bytes)
            state.remove_run(run)
            state.add_run(run._replace(size=size))


@_apply.register
def _apply_job_aside(
    command: commands.SetJobAside,
    state: PlacementState,
    index: int,
) -> None:
    job = state.jobs.get(command.job)
    if job is not None and job.status is JobStatus.waiting:
        set_aside(state, job, command.reason)
