"""Snapshots of the state of jobs."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from sardinemast.jobs._durations import DurationSummary
from sardinemast.jobs._instance_records import InstanceRecord
from sardinemast.jobs._records import (
    EMPTY_CATALOG,
    Catalog,
    JobRequest,
    Queue,
    Run,
    Wave,
    Worker,
)
from sardinemast.jobs._state import JobsState, JobState, StepState
from sardinemast.jobs._teams import TokenBucket


class StepImage(NamedTuple):
    """Hold a step of an occurrence; its tasks are keyed by position."""

    occurrence: int
    number: int
    waiting: tuple[int, ...]
    running: Mapping[int, Run]
    done: tuple[int, ...]
    run_numbers: Mapping[int, int]
    failures: Mapping[int, int]
    checkpoints: Mapping[int, str]
    preempted: Mapping[int, tuple[int, ...]] = MappingProxyType({})


class JobImage(NamedTuple):
    """Hold a job and the steps of each occurrence that has begun."""

    name: str
    queue: Queue
    team: str
    request: JobRequest
    log_index: int
    submitted_ms: int
    is_done: bool
    has_started: bool
    is_cancelled: bool
    is_failed: bool
    steps: tuple[StepImage, ...]
    is_within_rate: bool = True


class JobsImage(NamedTuple):
    """Hold the whole state; ended jobs are in the order of their ends."""

    catalog: Catalog = EMPTY_CATALOG
    source: bytes = b''
    live: tuple[JobImage, ...] = ()
    ended: tuple[JobImage, ...] = ()
    workers: tuple[Worker, ...] = ()
    waves: tuple[Wave, ...] = ()
    home_pools: Mapping[str, str] = MappingProxyType({})
    last_order_ms: Mapping[str, int] | None = None
    data_centres: tuple[str, ...] = ()
    evacuated: tuple[str, ...] = ()
    token_buckets: Mapping[str, TokenBucket] = MappingProxyType({})
    durations: tuple[DurationSummary, ...] = ()
    instance_records: tuple[InstanceRecord, ...] = ()


EMPTY_IMAGE = JobsImage()


def dump_state(state: JobsState) -> JobsImage:
    """Return a snapshot of the state."""
    return JobsImage(
        state.catalog,
        state.source,
        tuple(map(_dump_job, state.live.values())),
        tuple(_dump_job(state.jobs[name]) for name in state.ended),
        tuple(state.workers.values()),
        tuple(state.waves.values()),
        dict(state.home_pools),
        dict(state.last_order_ms),
        tuple(state.data_centres.known),
        tuple(state.data_centres.evacuated),
        dict(state.teams.buckets),
        tuple(state.durations.values()),
        tuple(state.instance_records.values()),
    )


def load_state(image: JobsImage) -> JobsState:
    """Restore a state from a snapshot."""
    state = JobsState()
    state.put_catalog(image.catalog, image.source)
    state.teams.buckets = dict(image.token_buckets)
    for worker in image.workers:
        state.put_worker(worker)
    state.waves = {wave.number: wave for wave in image.waves}
    state.home_pools = dict(image.home_pools)
    state.last_order_ms = _load_order_times(image)
    state.data_centres.known.update(dict.fromkeys(image.data_centres))
    state.data_centres.evacuated = dict.fromkeys(image.evacuated)
    state.durations = {one.key: one for one in image.durations}
    state.instance_records = {
        record.instance: record for record in image.instance_records
    }
    for live in image.live:
        job = _load_job(state, live)
        state.live[job.name] = job
        for step in job.iterate_steps():
            if not step.is_done and job.is_ready(step):
                state.ready[step.key] = step
    for ended in image.ended:
        job = _load_job(state, ended)
        state.ended[job.name] = None
    return state


def _load_order_times(image: JobsImage) -> dict[str, int]:
    if image.last_order_ms is None:
        # Snapshots of older versions lack order times: any of the instances
        # may have just been ordered.
        return dict.fromkeys(image.home_pools, 0)
    return dict(image.last_order_ms)


def _dump_job(job: JobState) -> JobImage:
    return JobImage(
        job.name,
        job.queue,
        job.team,
        job.request,
        job.log_index,
        job.submitted_ms,
        job.is_done,
        job.has_started,
        job.is_cancelled,
        job.is_failed,
        tuple(map(_dump_step, job.iterate_steps())),
        job.is_within_rate,
    )


def _dump_step(step: StepState) -> StepImage:
    return StepImage(
        step.key.occurrence,
        step.key.step,
        tuple(step.waiting),
        dict(step.running),
        tuple(sorted(step.done)),
        dict(step.run_numbers),
        dict(step.failures),
        dict(step.checkpoints),
        dict(step.preempted),
    )


def _load_job(state: JobsState, image: JobImage) -> JobState:
    job = JobState(
        image.name,
        # Older versions did not move all jobs to the queues of a new catalog.
        state.get_current_queue(image.queue),
        image.team,
        image.request,
        image.log_index,
        image.submitted_ms,
    )
    job.is_done = image.is_done
    job.has_started = image.has_started
    job.is_cancelled = image.is_cancelled
    job.is_failed = image.is_failed
    job.is_within_rate = image.is_within_rate
    state.jobs[job.name] = job
    for step_image in image.steps:
        if step_image.occurrence not in job.steps:
            job.open_occurrence(step_image.occurrence)
        step = job.steps[step_image.occurrence][step_image.number]
        _restore_step(state, step, step_image)
    return job


def _restore_step(state: JobsState, step: StepState, image: StepImage) -> None:
    step.waiting = dict.fromkeys(image.waiting)
    step.done = set(image.done)
    step.run_numbers = dict(image.run_numbers)
    step.failures = dict(image.failures)
    step.checkpoints = dict(image.checkpoints)
    step.preempted = dict(image.preempted)
    for index, run in image.running.items():
        state.add_run(step, index, run)
