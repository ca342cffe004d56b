"""Order of the steps in full pools, by the shares of their teams."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from sardinemast.dispatch._durations import DurationEstimates
from sardinemast.dispatch._pool_demand import measure_free
from sardinemast.dispatch._pool_division import PoolDivision
from sardinemast.dispatch._settings import TeamShares
from sardinemast.dispatch._step_facts import StepFacts, StepFactsCache
from sardinemast.jobs import JobsState, StepState

# Ranks within a queue priority. A class has two ranks: on time, then late.
_LONG_RUNNING = 0
_LATE_SHARE = 1
_FIRST_CLASS = 2
_BEYOND_SHARE = 2
_BEYOND_RATE = 4
_NOT_USEFUL = 10

StepOrder = tuple[float, ...]


def _is_never_failing(step: StepState) -> bool:
    return False


class PlanTime(NamedTuple):
    """Hold the time of a plan and the durations that it assumes."""

    durations: DurationEstimates
    now_ms: int


class PlanShares:
    """Order steps by their teams' shares while a plan is made.

    In a pool that has capacity for all its waiting tasks, steps have their
    usual order. The usage of a team grows with each planned start, so the keys
    of its steps may grow too. ``full_pools`` holds the pools that lack
    capacity; those without any are not divided. Steps for which ``is_failing``
    is true come last in their class.
    """

    def __init__(
        self,
        jobs: JobsState,
        plan_time: PlanTime,
        is_usable: Callable[[str], bool],
        cache: StepFactsCache,
        settings: TeamShares,
        is_failing: Callable[[StepState], bool] = _is_never_failing,
    ) -> None:
        self._jobs = jobs
        self._time = plan_time
        self._is_usable = is_usable
        self._cache = cache
        self._settings = settings
        self._is_failing = is_failing
        self.full_pools: set[str] = set()
        self._divisions: dict[str, PoolDivision] = {}

    def divide(self, candidates: list[StepState]) -> list[StepState]:
        """Divide the pools that are too small for the steps that wait.

        Return the steps without those of pools that have no free capacity.
        """
        by_pool: dict[str, list[StepFacts]] = defaultdict(list)
        for facts in self._cache.list_facts(
            self._jobs, candidates, *self._time
        ):
            by_pool[facts.pool].append(facts)
        placeable: list[StepState] = []
        for pool, waiting in by_pool.items():
            if not self._is_contended(waiting):
                placeable.extend(one.step for one in waiting)
                continue
            free = measure_free(self._jobs, pool, waiting, self._is_usable)
            if free.is_enough:
                placeable.extend(one.step for one in waiting)
                continue
            self.full_pools.add(pool)
            if free.workers:
                placeable.extend(one.step for one in waiting)
                self._divisions[pool] = self._divide_pool(
                    pool, waiting, free.millicores
                )
        return placeable

    def get_key(self, step: StepState) -> StepOrder:
        """Return the sort key of a step; the smallest key starts first."""
        facts = self._cache.get(step)
        job = facts.job
        division = self._divisions.get(facts.pool)
        if division is None:
            rank = facts.get_usual_rank(self._time.now_ms)
            due_ms = facts.due_ms
        else:
            rank = self._get_rank(facts, division)
            is_late_share = rank == _LATE_SHARE
            due_ms = facts.useful_until_ms if is_late_share else facts.due_ms
        if self._is_failing(step):
            due_ms = float('inf')
        return (job.queue.priority, rank, due_ms, job.log_index, step.key.step)

    def record_starts(self, step: StepState, count: int) -> None:
        """Add planned starts of a step to the usage of its team."""
        facts = self._cache.get(step)
        division = self._divisions.get(facts.pool)
        if division is not None and not step.spec.is_long_running:
            is_late = self._time.now_ms > facts.on_time_start_ms
            division.add_use(
                facts.job.team, count * facts.millicores, is_late=is_late
            )

    def get_shares(self) -> dict[str, Mapping[str, float]]:
        """Return the millicores of each team by pool that was divided."""
        return {
            pool: division.shares for pool, division in self._divisions.items()
        }

    def _is_contended(self, waiting: list[StepFacts]) -> bool:
        # Without excess, shares would only delay jobs that the order by
        # deadlines completes on time.
        return not self._settings.needs_excess or any(
            not facts.job.is_within_rate for facts in waiting
        )

    def _divide_pool(
        self, pool: str, waiting: list[StepFacts], free: int
    ) -> PoolDivision:
        division = PoolDivision(free)
        for queue in self._jobs.catalog.queues:
            if queue.pool == pool:
                division.used.update(self._jobs.usage.by_queue[queue.name])
        now_ms = self._time.now_ms
        for facts in waiting:
            # Work that is no longer useful must not reduce others' shares.
            is_useful = now_ms <= facts.useful_start_ms
            if is_useful and not facts.step.spec.is_long_running:
                demand = len(facts.step.waiting) * facts.millicores
                division.waiting[facts.job.team] += demand
        division.split(self._jobs, self._settings.late_share)
        if self._settings.late_share > 0:
            division.late_used = self._count_late_millicores(pool)
        return division

    def _count_late_millicores(self, pool: str) -> int:
        running = [
            step
            for step in self._jobs.ready.values()
            if step.running and not step.spec.is_long_running
        ]
        return sum(
            len(facts.step.running) * facts.millicores
            for facts in self._cache.list_facts(
                self._jobs, running, *self._time
            )
            if facts.pool == pool and self._time.now_ms > facts.late_finish_ms
        )

    def _get_rank(self, facts: StepFacts, division: PoolDivision) -> int:
        if facts.step.spec.is_long_running:
            return _LONG_RUNNING
        now_ms = self._time.now_ms
        if now_ms > facts.useful_start_ms:
            return _NOT_USEFUL
        is_late = now_ms > facts.on_time_start_ms
        job = facts.job
        if is_late and job.is_within_rate and division.has_late_capacity():
            return _LATE_SHARE
        rank = _FIRST_CLASS + is_late
        if not division.is_entitled(job.team, facts.millicores):
            rank += _BEYOND_SHARE
        if not job.is_within_rate:
            rank += _BEYOND_RATE
        return rank
