"""Order in which steps get room."""

from sardinemast.jobs import JobState, StepState


def get_order(
    job: JobState,
    step: StepState,
    now_ms: int,
) -> tuple[float, ...]:
    """Give what a step is sorted by; the smallest starts first.

    Within a priority, lasting tasks come first: they earn all the time that
    they run. Then comes what can still be done in time, the earliest
    deadline first, and last what is late already.
    """
    chains = job.critical_paths_ms
    allowed_ms = job.queue.stretch * max(chains) + job.queue.target_ms
    due_ms = _get_begin_ms(job, step) + allowed_ms
    is_late = now_ms + chains[step.key.step] > due_ms
    rank = 0
    if not step.spec.is_long_running:
        rank = 2 if is_late else 1
    return (job.queue.priority, rank, due_ms, job.log_index, step.key.step)


def _get_begin_ms(job: JobState, step: StepState) -> int:
    request = job.request
    if not request.occurrences:
        return job.submitted_ms
    return request.first_due_ms + step.key.occurrence * request.interval_ms
