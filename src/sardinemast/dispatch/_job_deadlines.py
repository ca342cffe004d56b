"""Times by which an occurrence of a job is due and still of use."""

from typing import NamedTuple

from sardinemast.dispatch._durations import DurationEstimates
from sardinemast.jobs import JobState

# A caller has no more use for a job after this multiple of its allowed time.
_USEFUL_FACTOR = 3


class JobDeadlines(NamedTuple):
    """Hold the Unix times of an occurrence's deadline and last use."""

    due_ms: float
    useful_until_ms: float


def get_deadlines(
    job: JobState,
    occurrence: int,
    durations: DurationEstimates,
) -> JobDeadlines:
    """Return the deadlines of an occurrence of a job."""
    total_ms = durations.get_total_ms(job)
    allowed_ms = job.queue.stretch * total_ms + job.queue.target_ms
    start_ms = _get_start_ms(job, occurrence)
    return JobDeadlines(
        start_ms + allowed_ms, start_ms + _USEFUL_FACTOR * allowed_ms
    )


def _get_start_ms(job: JobState, occurrence: int) -> int:
    request = job.request
    if not request.occurrences:
        return job.submitted_ms
    return request.first_due_ms + occurrence * request.interval_ms
