"""Choose which tasks start now, and on which workers."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from sardinemast.jobs import (
    NO_SIZE,
    JobsState,
    Size,
    StepState,
    TaskKey,
    Worker,
)
from sardinemast.jobs.commands import RunStart

# One command is synced and sent at once; more would hold up the next look.
_STARTS_MAX = 256


class Planner:
    """Choose starts on a picture of the free room."""

    def __init__(
        self,
        state: JobsState,
        workers: Iterable[Worker],
        order: Callable[[StepState], tuple[float, ...]],
        is_avoided: Callable[[TaskKey, str], bool],
        is_allowed: Callable[[StepState, Worker], bool],
    ) -> None:
        self._state = state
        self._order = order
        self._is_avoided = is_avoided
        self._is_allowed = is_allowed
        self._free: dict[str, Size] = {}
        self._by_pool: dict[str, list[Worker]] = defaultdict(list)
        self._unfit: dict[str, list[Size]] = defaultdict(list)
        self._is_trying = False
        for worker in workers:
            self._free[worker.name] = state.get_free(worker)
            self._by_pool[worker.pool].append(worker)
        self._used_by_team = dict(state.usage.by_team)
        self._starts: list[RunStart] = []

    def choose(self) -> tuple[RunStart, ...]:
        """Choose what starts now, the most pressing first."""
        candidates = [
            step
            for step in self._state.ready.values()
            if step.waiting and self._by_pool.get(self._get_pool(step))
        ]
        for step in sorted(candidates, key=self._order):
            if len(self._starts) >= _STARTS_MAX:
                break
            self._place_step(step)
        return tuple(self._starts)

    def _get_pool(self, step: StepState) -> str:
        return self._state.get_queue(step).pool

    def _place_step(self, step: StepState) -> None:
        if self._is_too_large(step):
            return
        if step.step.is_gang:
            self._place_gang(step)
            return
        on_worker = _count_by_worker(step)
        for index in tuple(step.waiting):
            worker = self._place_task(step, index, on_worker, '')
            if worker is None:
                return
            on_worker[worker] += 1

    def _place_gang(self, step: StepState) -> None:
        # Members wait for each other at their workers, and hold room there.
        # Unless all can start at once, none does.
        if step.running:
            return
        racks = self._get_racks(step) if step.step.is_same_rack else ['']
        # What is too large beside half a gang may fit when that gives way.
        self._is_trying = True
        for rack in racks:
            if self._try_gang(step, rack):
                break
        self._is_trying = False

    def _get_racks(self, step: StepState) -> list[str]:
        workers = self._by_pool[self._get_pool(step)]
        racks = sorted({worker.rack for worker in workers})
        racks.sort(key=lambda rack: rack != step.step.data_rack)
        # Far apart is slow, but a gang that fits no rack must run somewhere.
        return [*racks, '']

    def _try_gang(self, step: StepState, rack: str) -> bool:
        kept_free = dict(self._free)
        kept_used = dict(self._used_by_team)
        kept_starts = list(self._starts)
        on_worker = _count_by_worker(step)
        for index in tuple(step.waiting):
            worker = self._place_task(step, index, on_worker, rack)
            if worker is None:
                self._free = kept_free
                self._used_by_team = kept_used
                self._starts = kept_starts
                return False
            on_worker[worker] += 1
        return True

    def _place_task(
        self,
        step: StepState,
        index: int,
        on_worker: dict[str, int],
        rack: str,
    ) -> str | None:
        if not self._has_team_room(step):
            return None
        worker = self._pick(step, index, on_worker, rack)
        if worker is None:
            return None
        self._free[worker] = self._free[worker].plus(step.step.room_size, -1)
        team = self._state.get_job(step).team
        used = self._used_by_team.get(team, NO_SIZE)
        self._used_by_team[team] = used.plus(step.step.size)
        self._starts.append(
            RunStart(step.get_task(index), step.get_next_number(index), worker),
        )
        return worker

    def _has_team_room(self, step: StepState) -> bool:
        job = self._state.get_job(step)
        team = self._state.teams.get(job.team)
        if team is None:
            return True
        used = self._used_by_team.get(job.team, NO_SIZE).plus(step.step.size)
        return all(
            cap <= 0 or taken <= cap
            for taken, cap in zip(used, team.cap, strict=True)
        )

    def _pick(
        self,
        step: StepState,
        index: int,
        on_worker: dict[str, int],
        rack: str,
    ) -> str | None:
        size = step.step.room_size
        task = step.get_task(index)
        best: tuple[tuple[float, ...], str] | None = None
        roomy = [
            worker
            for worker in self._by_pool[self._get_pool(step)]
            if size.fits(self._free[worker.name])
        ]
        if not roomy and not self._is_trying:
            self._unfit[self._get_pool(step)].append(size)
        for worker in roomy:
            if not _is_suited(step, worker, on_worker, rack):
                continue
            if not self._is_allowed(step, worker):
                continue
            cost = (
                self._is_avoided(task, worker.name),
                _is_far(step, worker),
                self._is_disturbed(step, worker),
                # Tasks are packed, so that whole workers stay empty for wide
                # steps, for other pools and to be switched off. Lasting ones
                # too: spread over workers, to empty one of them sooner for
                # maintenance, a few small ones keep a whole pool on all day.
                self._free[worker.name].millicores,
            )
            if best is None or (cost, worker.name) < best:
                best = (cost, worker.name)
        return best[1] if best else None

    def _is_too_large(self, step: StepState) -> bool:
        """Tell whether the pool lacked room for a smaller task before.

        Room only gets less while starts are chosen. In a peak hundreds of
        steps wait for a full pool, and to look for each at each worker took
        half of a processor with 45 workers a pool; an end that waited behind
        such a plan was known late.
        """
        size = step.step.room_size
        unfit = self._unfit[self._get_pool(step)]
        return any(smaller.fits(size) for smaller in unfit)

    def _is_disturbed(self, step: StepState, worker: Worker) -> bool:
        usage = self._state.usage
        if step.step.is_filler:
            return usage.servers[worker.name] > 0
        return step.step.tail_limit_ms > 0 and usage.fillers[worker.name] > 0


def _count_by_worker(step: StepState) -> dict[str, int]:
    counted: dict[str, int] = defaultdict(int)
    for run in step.running.values():
        counted[run.worker] += 1
    return counted


def _is_suited(
    step: StepState,
    worker: Worker,
    on_worker: dict[str, int],
    rack: str,
) -> bool:
    wanted = step.step
    if not wanted.allows_labels(worker.labels):
        return False
    if wanted.worker_max and on_worker[worker.name] >= wanted.worker_max:
        return False
    return not rack or worker.rack == rack


def _is_far(step: StepState, worker: Worker) -> bool:
    rack = step.step.data_rack
    return bool(rack) and rack != worker.rack
