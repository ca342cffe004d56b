"""Limits of steps and teams on where tasks may run."""

from collections import defaultdict
from collections.abc import Mapping

from sardinemast.jobs import ZERO_SIZE, JobsState, Size, StepState, Worker


def count_by_worker(step: StepState) -> dict[str, int]:
    """Return how many tasks of a step run on each worker."""
    counted: dict[str, int] = defaultdict(int)
    for run in step.running.values():
        counted[run.worker] += 1
    return counted


def is_eligible(
    step: StepState,
    worker: Worker,
    on_worker: dict[str, int],
    rack: str = '',
) -> bool:
    """Check labels, the limit per worker and, if one is given, the rack."""
    spec = step.spec
    if not spec.allows_labels(worker.labels):
        return False
    if spec.max_per_worker and on_worker[worker.name] >= spec.max_per_worker:
        return False
    return not rack or worker.rack == rack


def fits_team_cap(
    jobs: JobsState, step: StepState, used_by_team: Mapping[str, Size]
) -> bool:
    """Check whether another task of a step fits its team's cap."""
    team = jobs.teams.get(jobs.get_job(step).team)
    if team is None:
        return True
    used = used_by_team.get(team.name, ZERO_SIZE).plus(step.spec.size)
    return all(
        cap <= 0 or taken <= cap
        for taken, cap in zip(used, team.cap, strict=True)
    )
