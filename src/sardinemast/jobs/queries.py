"""Read-only queries on the state of jobs."""

from sardinemast.jobs._records import JobStatus, Queue, Team
from sardinemast.jobs._state import JobsState


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


def count_queued_jobs(state: JobsState, queue: str) -> int:
    """Count the jobs of a queue that have not started a task."""
    return sum(
        job.queue.name == queue and job.status is JobStatus.queued
        for job in state.live.values()
    )
