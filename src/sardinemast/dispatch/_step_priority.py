"""Priority of steps that wait for capacity."""

from sardinemast.dispatch._durations import DurationEstimates
from sardinemast.dispatch._job_deadlines import get_deadlines
from sardinemast.jobs import JobState, StepState


def get_step_priority(
    job: JobState,
    step: StepState,
    durations: DurationEstimates,
    now_ms: int,
    *,
    is_failing: bool = False,
) -> tuple[float, ...]:
    """Return the sort key of a step; the smallest key starts first.

    Within a queue priority, long-running steps come first, then steps that
    can still meet their deadline, earliest first, then late steps. Steps of a
    failing job come last among these.
    """
    due_ms = get_deadlines(job, step.key.occurrence, durations).due_ms
    is_late = now_ms + durations.get_remaining_ms(job, step.key.step) > due_ms
    rank = 0
    if not step.spec.is_long_running:
        rank = 2 if is_late else 1
    order_ms = float('inf') if is_failing else due_ms
    return (job.queue.priority, rank, order_ms, job.log_index, step.key.step)
