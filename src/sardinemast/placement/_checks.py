"""Checks that the log makes again when a command is applied."""

from sardinemast.placement import commands
from sardinemast.placement._records import (
    Job,
    JobStatus,
    Size,
    Worker,
    WorkerStatus,
)
from sardinemast.placement._state import PlacementState

# Of all workers this part, and at least one, may be set aside at once.
ASIDE_SHARE = 0.05
MAX_PLACEMENTS = 1024


def may_set_aside(state: PlacementState) -> bool:
    """Tell whether one more worker may be set aside.

    A bad job or a bad roll-out makes many workers look bad at once. Without
    a bound they would all be set aside and nothing would run anywhere.
    """
    return len(state.aside) < max(1, int(ASIDE_SHARE * len(state.workers)))


def get_worker(
    state: PlacementState,
    name: str,
    incarnation: int,
) -> Worker | None:
    """Give the worker if this is its incarnation."""
    worker = state.workers.get(name)
    if worker is None or worker.incarnation != incarnation:
        return None
    return worker


def may_place(state: PlacementState, placement: commands.Placement) -> bool:
    """Tell whether a job may still start where a leader chose."""
    job = state.jobs.get(placement.job)
    worker = get_worker(state, placement.worker, placement.incarnation)
    if job is None or worker is None or job.status is not JobStatus.waiting:
        return False
    if worker.status is not WorkerStatus.ready or worker.is_draining:
        return False
    # A run that may still go on is in the state until its end is sure.
    if not job.may_overlap and job.name in state.by_job:
        return False
    if not placement.size.fits(state.free[worker.name]):
        return False
    return has_team_room(state, job, placement.size)


def has_team_room(state: PlacementState, job: Job, size: Size) -> bool:
    """Tell whether the team's limit lets the job run."""
    team = state.teams.get(job.team)
    millicores_max = team.millicores_max if team else 0
    running = state.millicores_by_team[job.team]
    return running + size.millicores <= millicores_max
