"""Read-only queries on the state of jobs."""

from sardinemast.jobs._records import JobStatus, Queue, Team
from sardinemast.jobs._state import JobsState, JobState


def find_queue(state: JobsState, host: str, path: str) -> Queue | None:
    """Return the queue of the host with the longest matching prefix."""
    matches = [
        queue
        for queue in state.catalog.queues
        if queue.host == host and path.startswith(queue.prefix)
    ]
    return max(matches, key=lambda queue: len(queue.prefix), default=None)


def find_team(state: JobsState, key: str) -> Team | None:
    """Return the team that owns the key."""
    return state.teams.find_by_key(key)


def has_pool(state: JobsState, pool: str) -> bool:
    """Check whether workers of a pool count, which the catalog must name.

    Workers may announce themselves before the first catalog.
    """
    return not state.catalog.version or pool in state.pools


def find_job(state: JobsState, queue: Queue, name: str) -> JobState | None:
    """Return the job that callers name at the place of a queue."""
    job = state.jobs.get(name)
    return job if job is not None and state.serves(queue, job) else None


def count_queued_jobs(state: JobsState, queue: Queue) -> int:
    """Count the jobs of a queue that have not started a task."""
    return sum(
        job.status is JobStatus.queued and state.serves(queue, job)
        for job in state.live.values()
    )
