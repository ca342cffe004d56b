"""Choice of the next jobs and of their workers."""

import heapq
from collections import deque
from collections.abc import Iterator

from sardinemast.placement._checks import MAX_PLACEMENTS, has_team_room
from sardinemast.placement._records import (
    Job,
    Priority,
    Size,
    Worker,
    WorkerStatus,
)
from sardinemast.placement._state import PlacementState
from sardinemast.placement.commands import Placement

# So many workers with room are compared for a job. Comparing all would make
# each decision dearer as the fleet grows, for a little better a fit.
_COMPARED = 24


class Planner:
    """Choose placements on a picture of the free room."""

    def __init__(self, state: PlacementState, start: int = 0) -> None:
        self._state = state
        self._free = dict(state.free)
        self._millicores = dict(state.millicores_by_team)
        self._workers = [
            worker
            for worker in state.workers.values()
            if worker.status is WorkerStatus.ready and not worker.is_draining
        ]
        self._start = start
        self._misfits: list[Size] = []
        self._groups: dict[tuple[str, str], int] = {}
        self.unplaced: list[Job] = []

    def choose(self) -> tuple[Placement, ...]:
        """Choose what starts now; urgent first, then by used share."""
        chosen = []
        for priority in Priority:
            for job in self._iterate_by_share(priority):
                placement = self._place(job)
                if placement is not None:
                    chosen.append(placement)
                if len(chosen) >= MAX_PLACEMENTS:
                    return tuple(chosen)
        return tuple(chosen)

    def _iterate_by_share(self, priority: Priority) -> Iterator[Job]:
        queues: dict[str, deque[Job]] = {}
        for name in self._state.waiting:
            job = self._state.jobs[name]
            if job.priority is priority:
                queues.setdefault(job.team, deque()).append(job)
        heap = [(self._get_use(team), team) for team in queues]
        heapq.heapify(heap)
        while heap:
            _, team = heapq.heappop(heap)
            yield queues[team].popleft()
            if queues[team]:
                heapq.heappush(heap, (self._get_use(team), team))

    def _get_use(self, team: str) -> float:
        declared = self._state.teams.get(team)
        share = declared.share if declared else 1
        return self._millicores.get(team, 0) / share

    def _place(self, job: Job) -> Placement | None:
        if not job.may_overlap and job.name in self._state.by_job:
            return None
        size = self._state.estimate(job)
        team = self._state.teams.get(job.team)
        used = self._millicores.get(job.team, 0) + size.millicores
        if team is None or used > team.millicores_max:
            return None
        worker = None if self._is_misfit(size) else self._pick(job, size)
        if worker is None:
            self._note_unplaced(job, size)
            return None
        self._free[worker.name] = self._free[worker.name].plus(size, -1)
        self._millicores[job.team] = used
        place = (job.group, worker.data_centre)
        self._groups[place] = self._groups.get(place, 0) + 1
        return Placement(job.name, worker.name, worker.incarnation, size)

    def _note_unplaced(self, job: Job, size: Size) -> None:
        if not job.failed_on:
            self._misfits.append(size)
        if has_team_room(self._state, job, size):
            self.unplaced.append(job)

    def _is_misfit(self, size: Size) -> bool:
        return any(known.fits(size) for known in self._misfits)

    def _pick(self, job: Job, size: Size) -> Worker | None:
        best: Worker | None = None
        best_score: tuple[int, int, int] | None = None
        compared = 0
        count = len(self._workers)
        for offset in range(count):
            worker = self._workers[(self._start + offset) % count]
            room = self._free[worker.name]
            if not size.fits(room) or worker.name in job.failed_on:
                continue
            score = self._score(job, worker, room.millicores - size.millicores)
            if best_score is None or score < best_score:
                best, best_score = worker, score
            compared += 1
            if compared >= _COMPARED:
                break
        self._start += 1
        return best

    def _score(
        self,
        job: Job,
        worker: Worker,
        left_millicores: int,
    ) -> tuple[int, int, int]:
        # A worker with unexplained failures comes last, a data centre that
        # holds much of the same group later, the tightest fit first.
        spread = 0
        if job.group:
            spread = self._groups.get((job.group, worker.data_centre), 0)
            spread += _count_group(self._state, job.group, worker.data_centre)
        return (len(worker.failed), spread, left_millicores)


def _count_group(state: PlacementState, group: str, data_centre: str) -> int:
    return sum(
        state.jobs[run.job].group == group
        and state.workers[run.worker].data_centre == data_centre
        for run in state.runs.values()
    )


def fits_no_worker(state: PlacementState, size: Size) -> bool:
    """Tell whether no worker could hold it even if it were empty."""
    return bool(state.workers) and not any(
        size.fits(worker.room) for worker in state.workers.values()
    )
