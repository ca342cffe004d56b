"""Queries on jobs; none of them changes anything."""

from sardinemast.jobs._records import JobStatus, Queue, Team
from sardinemast.jobs._state import JobsState


def find_queue(state: JobsState, host: str, path: str) -> Queue | None:
    """Give the queue of the host with the longest prefix of the path."""
    fitting = [
        queue
        for queue in state.catalog.queues
        if queue.host == host and path.startswith(queue.prefix)
    ]
    return max(fitting, key=lambda queue: len(queue.prefix), default=None)


def find_team(state: JobsState, key: str) -> Team | None:
    """Give the team that the key belongs to."""
    return state.teams_by_key.get(key)


def count_queued_jobs(state: JobsState, queue: str) -> int:
    """Give how many accepted jobs of a queue have not begun."""
    return sum(
        job.queue.name == queue and job.status is JobStatus.queued
        for job in state.live.values()
    )
