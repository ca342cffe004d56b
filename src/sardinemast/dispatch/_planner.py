"""Choose which tasks start now, and on which workers."""

from collections import defaultdict
from collections.abc import Callable, Iterator

from sardinemast.jobs import (
    ZERO_SIZE,
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
    """Choose starts on a picture of the free room.

    ``is_usable`` tells of a worker whether new runs may start there.
    """

    def __init__(
        self,
        state: JobsState,
        is_usable: Callable[[str], bool],
        order: Callable[[StepState], tuple[float, ...]],
        is_avoided: Callable[[TaskKey, str], bool],
        is_allowed: Callable[[StepState, Worker], bool],
    ) -> None:
        self._state = state
        self._order = order
        self._is_avoided = is_avoided
        self._is_allowed = is_allowed
        self._is_usable = is_usable
        self._usable: dict[str, bool] = {}
        self._free = state.usage.free.copy()
        self._unfit: dict[str, list[Size]] = defaultdict(list)
        self._is_trying = False
        self._used_by_team = dict(state.usage.by_team)
        self._starts: list[RunStart] = []

    def choose(self) -> tuple[RunStart, ...]:
        """Choose what starts now, the most pressing first."""
        candidates = [
            step for step in self._state.ready.values() if step.waiting
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
        if step.spec.is_gang:
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
        racks = self._get_racks(step) if step.spec.is_same_rack else ['']
        # What is too large beside half a gang may fit when that gives way.
        self._is_trying = True
        for rack in racks:
            if self._try_gang(step, rack):
                break
        self._is_trying = False

    def _get_racks(self, step: StepState) -> list[str]:
        names = self._free.list_workers(self._get_pool(step))
        racks = sorted(
            {
                self._state.workers[name].rack
                for name in names
                if self._check_usable(name)
            },
        )
        racks.sort(key=lambda rack: rack != step.spec.data_rack)
        # Far apart is slow, but a gang that fits no rack must run somewhere.
        return [*racks, '']

    def _try_gang(self, step: StepState, rack: str) -> bool:
        kept_free = self._free.copy()
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
        self._free.change(worker, step.spec.reserved_size, -1)
        team = self._state.get_job(step).team
        used = self._used_by_team.get(team, ZERO_SIZE)
        self._used_by_team[team] = used.plus(step.spec.size)
        self._starts.append(
            RunStart(
                step.get_task(index), step.get_next_run_number(index), worker
            ),
        )
        return worker

    def _has_team_room(self, step: StepState) -> bool:
        job = self._state.get_job(step)
        team = self._state.teams.get(job.team)
        if team is None:
            return True
        used = self._used_by_team.get(job.team, ZERO_SIZE).plus(step.spec.size)
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
        task = step.get_task(index)
        best: tuple[tuple[bool, ...], str] | None = None
        has_room = False
        for worker in self._iterate_roomy(step):
            has_room = True
            if not _is_suited(step, worker, on_worker, rack):
                continue
            if not self._is_allowed(step, worker):
                continue
            # Tasks are packed: the fullest worker with room comes first, so
            # that whole workers stay empty for wide steps, for other pools
            # and to be switched off. Lasting ones too: spread over workers,
            # to empty one of them sooner for maintenance, a few small ones
            # keep a whole pool on all day.
            cost = (
                self._is_avoided(task, worker.name),
                _is_far(step, worker),
                self._is_disturbed(step, worker),
            )
            if best is None or cost < best[0]:
                best = (cost, worker.name)
            if not any(cost):
                break
        if not has_room and not self._is_trying:
            self._unfit[self._get_pool(step)].append(step.spec.reserved_size)
        return best[1] if best else None

    def _iterate_roomy(self, step: StepState) -> Iterator[Worker]:
        """Give the usable workers with room for a task, the fullest first."""
        for name in self._free.iterate_fitting(
            self._get_pool(step),
            step.spec.reserved_size,
        ):
            if self._check_usable(name):
                yield self._state.workers[name]

    def _check_usable(self, name: str) -> bool:
        known = self._usable.get(name)
        if known is None:
            known = self._is_usable(name)
            self._usable[name] = known
        return known

    def _is_too_large(self, step: StepState) -> bool:
        """Tell whether the pool lacked room for a smaller task before.

        Room only gets less while starts are chosen. In a peak hundreds of
        steps wait for a full pool, and to look for each at each worker took
        half of a processor with 45 workers a pool; an end that waited behind
        such a plan was known late.
        """
        size = step.spec.reserved_size
        unfit = self._unfit[self._get_pool(step)]
        return any(smaller.fits(size) for smaller in unfit)

    def _is_disturbed(self, step: StepState, worker: Worker) -> bool:
        usage = self._state.usage
        if step.spec.is_best_effort:
            return usage.latency_sensitive_counts[worker.name] > 0
        return (
            step.spec.tail_latency_limit_ms > 0
            and usage.best_effort_counts[worker.name] > 0
        )


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
    wanted = step.spec
    if not wanted.allows_labels(worker.labels):
        return False
    if (
        wanted.max_per_worker
        and on_worker[worker.name] >= wanted.max_per_worker
    ):
        return False
    return not rack or worker.rack == rack


def _is_far(step: StepState, worker: Worker) -> bool:
    rack = step.spec.data_rack
    return bool(rack) and rack != worker.rack
