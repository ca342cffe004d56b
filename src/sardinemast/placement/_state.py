"""Replicated state of placement."""

import heapq
from collections import Counter
from typing import NamedTuple

from sardinemast.placement._learned import LearnedKind, estimate_size
from sardinemast.placement._records import (
    FINAL,
    Job,
    JobStatus,
    Run,
    Size,
    Team,
    Worker,
    WorkerStatus,
)

MAX_ENDED = 20_000


class PlacementImage(NamedTuple):
    """Hold the whole state as one record."""

    teams: tuple[Team, ...]
    workers: tuple[Worker, ...]
    jobs: tuple[Job, ...]
    runs: tuple[Run, ...]
    learned: tuple[LearnedKind, ...]


class PlacementState:
    """Hold teams, workers, jobs and runs at one log index.

    ``runs`` holds each run that may still go on, by its token.
    """

    def __init__(self) -> None:
        self.log_index = 0
        self.teams: dict[str, Team] = {}
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, Job] = {}
        self.waiting: dict[str, None] = {}
        self.runs: dict[int, Run] = {}
        self.learned: dict[tuple[str, str], LearnedKind] = {}
        self.aside: set[str] = set()
        self._over: list[tuple[int, str]] = []
        self.free: dict[str, Size] = {}
        self.by_worker: dict[str, dict[int, None]] = {}
        self.by_job: dict[str, dict[int, None]] = {}
        self.millicores_by_team: Counter[str] = Counter()

    def put_worker(self, worker: Worker) -> None:
        """Put a worker in place of what was known of it."""
        known = self.workers.get(worker.name)
        room = known.room if known else Size(0, 0)
        free = self.free.get(worker.name, Size(0, 0))
        self.free[worker.name] = free.plus(worker.room).plus(room, -1)
        self.workers[worker.name] = worker
        if worker.status is WorkerStatus.set_aside:
            self.aside.add(worker.name)
        else:
            self.aside.discard(worker.name)
        self.by_worker.setdefault(worker.name, {})

    def put_job(self, job: Job) -> None:
        """Put a job in place of what was known of it."""
        if job.status in FINAL:
            if not job.ended_index:
                job = job._replace(ended_index=self.log_index)
                heapq.heappush(self._over, (job.ended_index, job.name))
        self.jobs[job.name] = job
        if job.status is JobStatus.waiting:
            self.waiting.setdefault(job.name)
        else:
            self.waiting.pop(job.name, None)

    def add_run(self, run: Run) -> None:
        """Take room for a run."""
        self.runs[run.token] = run
        self.free[run.worker] = self.free[run.worker].plus(run.size, -1)
        self.by_worker[run.worker][run.token] = None
        self.by_job.setdefault(run.job, {})[run.token] = None
        team = self.jobs[run.job].team
        self.millicores_by_team[team] += run.size.millicores

    def remove_run(self, run: Run) -> None:
        """Give the room of an ended run back."""
        self.runs.pop(run.token)
        self.free[run.worker] = self.free[run.worker].plus(run.size)
        self.by_worker[run.worker].pop(run.token)
        self.by_job[run.job].pop(run.token)
        if not self.by_job[run.job]:
            self.by_job.pop(run.job)
        team = self.jobs[run.job].team
        self.millicores_by_team[team] -= run.size.millicores

    def note_ended(self, job: Job) -> None:
        """Note a job that was over before this state was made."""
        heapq.heappush(self._over, (job.ended_index, job.name))

    def drop_oldest(self) -> None:
        """Drop the jobs that were over first, where too many are kept.

        The order is by log index and name alone, so that a replica from an
        image drops the same ones.
        """
        for _ in range(len(self._over) - MAX_ENDED):
            ended_index, name = heapq.heappop(self._over)
            if name in self.by_job:
                # A second run may still go on; it needs its job.
                heapq.heappush(self._over, (self.log_index, name))
                self.jobs[name] = self.jobs[name]._replace(
                    ended_index=self.log_index,
                )
            elif self.jobs[name].ended_index == ended_index:
                self.jobs.pop(name)

    def estimate(self, job: Job) -> Size:
        """Estimate what the job takes."""
        return estimate_size(job, self.learned.get((job.team, job.kind)))


EMPTY_IMAGE = PlacementImage((), (), (), (), ())


def dump_state(state: PlacementState) -> PlacementImage:
    """Give the whole state as one record."""
    return PlacementImage(
        tuple(sorted(state.teams.values())),
        tuple(sorted(state.workers.values())),
        tuple(sorted(state.jobs.values())),
        tuple(sorted(state.runs.values())),
        tuple(sorted(state.learned.values())),
    )


def load_state(image: PlacementImage) -> PlacementState:
    """Make a state from its record."""
    state = PlacementState()
    state.teams = {team.name: team for team in image.teams}
    state.learned = {(one.team, one.kind): one for one in image.learned}
    for worker in image.workers:
        state.put_worker(worker)
    for job in image.jobs:
        state.put_job(job)
        if job.ended_index:
            state.note_ended(job)
    for run in image.runs:
        state.add_run(run)
    return state
