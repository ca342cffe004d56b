"""Choose which tasks to start, and on which workers."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Set
from heapq import heapify, heappop, heappush
from types import MappingProxyType
from typing import NamedTuple

from sardinemast.dispatch._eligibility import (
    count_by_worker,
    fits_team_cap,
    is_eligible,
)
from sardinemast.dispatch._plan_shares import PlanShares, StepOrder
from sardinemast.jobs import (
    ZERO_SIZE,
    JobsState,
    Size,
    StepKey,
    StepState,
    TaskKey,
    Worker,
)
from sardinemast.jobs.commands import RunStart

# Bounds the size of a command, which is synced and sent as a whole. A larger
# one would delay the polls behind it.
_STARTS_MAX = 256
_NOTHING_HELD: Mapping[str, Set[TaskKey]] = MappingProxyType({})


class _PartialStep(NamedTuple):
    """Hold the tasks of a step that are left, and its tasks by worker."""

    waiting: list[int]
    on_worker: dict[str, int]


class Planner:
    """Plan starts on a copy of the free capacity.

    ``is_usable`` tells whether a worker may get new runs. ``is_avoided`` tells
    whether a task should rather not run on a worker, ``is_allowed`` whether a
    step may run on it at all beside so many planned starts. With ``shares``,
    these replace ``order``. Of a job in ``held``, only the tasks listed there
    and long-running ones may start.
    """

    def __init__(
        self,
        state: JobsState,
        is_usable: Callable[[str], bool],
        order: Callable[[StepState], tuple[float, ...]],
        is_avoided: Callable[[TaskKey, str], bool],
        is_allowed: Callable[[StepState, Worker, int], bool],
        shares: PlanShares | None = None,
        held: Mapping[str, Set[TaskKey]] = _NOTHING_HELD,
    ) -> None:
        self._state = state
        self._order = order
        self._is_avoided = is_avoided
        self._is_allowed = is_allowed
        self._held = held
        self._is_usable = is_usable
        self._shares = shares
        self._partial: dict[StepKey, _PartialStep] = {}
        self._usable: dict[str, bool] = {}
        self._free = state.usage.free.copy()
        self._unplaceable_sizes: dict[str, list[Size]] = defaultdict(list)
        self._is_gang_attempt = False
        self._used_by_team = dict(state.usage.by_team)
        self._starts: list[RunStart] = []
        self._planned_counts: Counter[str] = Counter()

    def choose(self) -> tuple[RunStart, ...]:
        """Return the starts, in the order of the steps' priorities."""
        candidates = [
            step for step in self._state.ready.values() if step.waiting
        ]
        order = self._order
        if self._shares is not None:
            candidates = self._shares.divide(candidates)
            order = self._shares.get_key
            if self._shares.get_shares():
                self._place_by_shares(candidates, self._shares)
                return tuple(self._starts)
        for step in sorted(candidates, key=order):
            if len(self._starts) >= _STARTS_MAX:
                break
            self._place_step(step)
        return tuple(self._starts)

    def add_starts(
        self, tasks: Iterable[TaskKey], is_usable: Callable[[str], bool]
    ) -> tuple[RunStart, ...]:
        """Place long-running tasks on these workers too; return all starts."""
        self._is_usable = is_usable
        self._usable.clear()
        self._unplaceable_sizes.clear()
        planned = {start.task for start in self._starts}
        on_workers: dict[StepKey, dict[str, int]] = {}
        for start in self._starts:
            on_worker = self._get_on_worker(on_workers, start.task)
            on_worker[start.worker] += 1
        for task in tasks:
            if len(self._starts) >= _STARTS_MAX:
                break
            step = self._state.find_step(task)
            if step is None or task in planned or not self._may_add(step, task):
                continue
            on_worker = self._get_on_worker(on_workers, task)
            worker = self._place_task(step, task.position, on_worker, '')
            if worker is not None:
                on_worker[worker] += 1
        return tuple(self._starts)

    def _may_add(self, step: StepState, task: TaskKey) -> bool:
        # A gang starts as a whole or not at all.
        if step.spec.is_gang or self._is_known_unplaceable(step):
            return False
        return task.position in step.waiting

    def _get_on_worker(
        self, on_workers: dict[StepKey, dict[str, int]], task: TaskKey
    ) -> dict[str, int]:
        key = StepKey(*task[:-1])
        if key not in on_workers:
            step = self._state.find_step(task)
            on_workers[key] = count_by_worker(step) if step else Counter()
        return on_workers[key]

    def _place_by_shares(
        self, candidates: list[StepState], shares: PlanShares
    ) -> None:
        queue = [
            (shares.get_key(step), number, step)
            for number, step in enumerate(candidates)
        ]
        heapify(queue)
        while queue and len(self._starts) < _STARTS_MAX:
            key, number, step = heappop(queue)
            if self._is_known_unplaceable(step):
                continue
            is_current = shares.get_key(step) == key
            if is_current and self._place_while_current(step, key, shares):
                continue
            heappush(queue, (shares.get_key(step), number, step))

    def _place_while_current(
        self, step: StepState, key: StepOrder, shares: PlanShares
    ) -> bool:
        """Place tasks while the step's key stays the same.

        Return whether none of its tasks is left to be placed in this plan.
        """
        if step.spec.is_gang:
            placed_count = len(self._starts)
            self._place_gang(step)
            shares.record_starts(step, len(self._starts) - placed_count)
            return True
        partial = self._partial.setdefault(
            step.key,
            _PartialStep(list(step.waiting), count_by_worker(step)),
        )
        while partial.waiting:
            worker = self._place_task(
                step, partial.waiting[0], partial.on_worker, ''
            )
            if worker is None:
                return True
            partial.waiting.pop(0)
            partial.on_worker[worker] += 1
            shares.record_starts(step, 1)
            if shares.get_key(step) != key:
                break
        return not partial.waiting

    def _get_pool(self, step: StepState) -> str:
        return self._state.get_queue(step).pool

    def _place_step(self, step: StepState) -> None:
        if self._is_known_unplaceable(step):
            return
        if step.spec.is_gang:
            self._place_gang(step)
            return
        on_worker = count_by_worker(step)
        for index in self._list_startable(step):
            worker = self._place_task(step, index, on_worker, '')
            if worker is None:
                return
            on_worker[worker] += 1

    def _list_startable(self, step: StepState) -> tuple[int, ...]:
        waiting = tuple(step.waiting)
        if not self._is_held_back(step):
            return waiting
        held_tasks = self._held[step.key.job]
        return tuple(
            index for index in waiting if step.get_task(index) in held_tasks
        )

    def _is_held_back(self, step: StepState) -> bool:
        """Check whether only the failing tasks of a step may start.

        Long-running tasks serve their users whether the job's others fail.
        """
        return not step.spec.is_long_running and step.key.job in self._held

    def _place_gang(self, step: StepState) -> None:
        # Members wait for each other while they occupy their workers, so a gang
        # starts as a whole or not at all.
        if step.running or self._is_held_back(step):
            return
        racks = self._get_racks(step) if step.spec.is_same_rack else ['']
        # A failed attempt is rolled back, so it must not mark sizes as
        # unplaceable.
        self._is_gang_attempt = True
        for rack in racks:
            if self._try_place_gang(step, rack):
                break
        self._is_gang_attempt = False

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
        # A gang that fits into no single rack may spread over several.
        return [*racks, '']

    def _try_place_gang(self, step: StepState, rack: str) -> bool:
        saved_free = self._free.copy()
        saved_used = dict(self._used_by_team)
        saved_starts = list(self._starts)
        on_worker = count_by_worker(step)
        for index in tuple(step.waiting):
            worker = self._place_task(step, index, on_worker, rack)
            if worker is None:
                self._free = saved_free
                self._used_by_team = saved_used
                self._starts = saved_starts
                self._planned_counts = Counter(
                    start.worker for start in saved_starts
                )
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
        if not self._fits_team_cap(step):
            return None
        worker = self._choose_worker(step, index, on_worker, rack)
        if worker is None:
            return None
        self._free.change(worker, step.spec.reserved_size, -1)
        self._planned_counts[worker] += 1
        team = self._state.get_job(step).team
        used = self._used_by_team.get(team, ZERO_SIZE)
        self._used_by_team[team] = used.plus(step.spec.size)
        self._starts.append(
            RunStart(
                step.get_task(index), step.get_next_run_number(index), worker
            ),
        )
        return worker

    def _fits_team_cap(self, step: StepState) -> bool:
        return fits_team_cap(self._state, step, self._used_by_team)

    def _choose_worker(
        self,
        step: StepState,
        index: int,
        on_worker: dict[str, int],
        rack: str,
    ) -> str | None:
        task = step.get_task(index)
        best: tuple[tuple[bool, ...], str] | None = None
        has_candidate = False
        for worker in self._iterate_fitting(step):
            has_candidate = True
            if not is_eligible(step, worker, on_worker, rack):
                continue
            planned_count = self._planned_counts.get(worker.name, 0)
            if not self._is_allowed(step, worker, planned_count):
                continue
            # Workers come fullest first. Packing, also of long-running tasks,
            # keeps whole workers empty for wide steps, for moves to other
            # pools and for switching them off. Spread out, a few small
            # long-running tasks would keep a whole pool on all day.
            cost = (
                self._is_avoided(task, worker.name),
                _is_remote(step, worker),
                self._has_interference(step, worker),
            )
            if best is None or cost < best[0]:
                best = (cost, worker.name)
            if not any(cost):
                break
        if not has_candidate and not self._is_gang_attempt:
            self._unplaceable_sizes[self._get_pool(step)].append(
                step.spec.reserved_size
            )
        return best[1] if best else None

    def _iterate_fitting(self, step: StepState) -> Iterator[Worker]:
        """Yield the usable workers with capacity for a task, fullest first."""
        for name in self._free.iterate_fitting(
            self._get_pool(step),
            step.spec.reserved_size,
        ):
            if self._check_usable(name):
                yield self._state.workers[name]

    def _check_usable(self, name: str) -> bool:
        is_usable = self._usable.get(name)
        if is_usable is None:
            is_usable = self._is_usable(name)
            self._usable[name] = is_usable
        return is_usable

    def _is_known_unplaceable(self, step: StepState) -> bool:
        """Check whether a task of at most this size already found no worker.

        Free capacity only shrinks during planning. This avoids checking every
        waiting step against every worker of a full pool.
        """
        size = step.spec.reserved_size
        unplaceable_sizes = self._unplaceable_sizes[self._get_pool(step)]
        return any(smaller.fits(size) for smaller in unplaceable_sizes)

    def _has_interference(self, step: StepState, worker: Worker) -> bool:
        usage = self._state.usage
        if step.spec.is_best_effort:
            return usage.latency_sensitive_counts[worker.name] > 0
        return (
            step.spec.tail_latency_limit_ms > 0
            and usage.best_effort_counts[worker.name] > 0
        )


def _is_remote(step: StepState, worker: Worker) -> bool:
    rack = step.spec.data_rack
    return bool(rack) and rack != worker.rack
