"""Priority of steps that wait for capacity."""

from sardinemast.jobs import JobState, StepState


def get_step_priority(
    job: JobState,
    step: StepState,
    now_ms: int,
) -> tuple[float, ...]:
    """Return the sort key of a step; the smallest key starts first.

    Within a queue priority, long-running steps come first, then steps that
    can still meet their deadline, earliest first, then late steps.
    """
    critical_paths = job.critical_paths_ms
    allowed_ms = job.queue.stretch * max(critical_paths) + job.queue.target_ms
    due_ms = _get_start_ms(job, step) + allowed_ms
    is_late = now_ms + critical_paths[step.key.step] > due_ms
    rank = 0
    if not step.spec.is_long_running:
        rank = 2 if is_late else 1
    return (job.queue.priority, rank, due_ms, job.log_index, step.key.step)


def _get_start_ms(job: JobState, step: StepState) -> int:
    request = job.request
    if not request.occurrences:
        return job.submitted_ms
    return request.first_due_ms + step.key.occurrence * request.interval_ms
