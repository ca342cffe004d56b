"""Report long-running tasks that wait, and what keeps them from starting."""

from collections import Counter
from collections.abc import Callable
from operator import attrgetter
from typing import NamedTuple

from sardinemast.dispatch._eligibility import (
    count_by_worker,
    fits_team_cap,
    is_eligible,
)
from sardinemast.dispatch._event_budget import EventBudget
from sardinemast.dispatch._long_running_waits import LongRunningWaits
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._withheld_reasons import WithheldReason
from sardinemast.jobs import Size, StepKey, StepState, TaskKey, Worker

_LOOK_INTERVAL_S = 0.5
_REPORT_AFTER_S = 2.0
_REPEAT_S = 5.0
# A line that was left out is due again after this time.
_RETRY_S = 1.0
_LINES_PER_S = 20

_StepCheck = Callable[[StepState, Worker, float], bool]
_Details = dict[str, str | float]


class _Wait(NamedTuple):
    """Hold since when a task waits, and its last and its next log line."""

    task: TaskKey
    since_s: float
    due_s: float
    logged_s: float = float('-inf')


class _PoolRoom(NamedTuple):
    """Hold the workers and the usable free millicores of a pool."""

    workers: int
    free: int
    largest_free: int


class _FittingWorkers(NamedTuple):
    """Hold the usable workers that fit a size, and count the withheld ones."""

    usable: list[str]
    reasons: Counter[WithheldReason]


class WaitingTasks:
    """Log why long-running tasks wait.

    ``is_allowed`` tells whether a step may start on a worker that fits it and
    is usable.
    """

    def __init__(
        self,
        state: DispatchState,
        tracked: LongRunningWaits,
        is_allowed: _StepCheck,
    ) -> None:
        self._state = state
        self._tracked = tracked
        self._is_allowed = is_allowed
        self._waits: dict[TaskKey, _Wait] = {}
        self._budget = EventBudget(_LINES_PER_S)
        self._next_look_s = float('-inf')
        self._now_s: float = 0
        self._reasons: dict[str, WithheldReason | None] = {}
        self._rooms: dict[str, _PoolRoom] = {}
        self._fitting: dict[tuple[str, Size], _FittingWorkers] = {}
        self._step_details: dict[StepKey, _Details] = {}

    def start_term(self) -> None:
        """Discard the state of the previous term."""
        self._waits = {}
        self._next_look_s = float('-inf')

    def tick(self, now_s: float) -> None:
        """Log the tasks that wait for long, at intervals."""
        if now_s < self._next_look_s:
            return
        self._next_look_s = now_s + _LOOK_INTERVAL_S
        self._now_s = now_s
        self._waits = {
            task: self._waits.get(task)
            or _Wait(task, since_s, since_s + _REPORT_AFTER_S)
            for task, since_s in self._tracked.since_s.items()
        }
        due = [wait for wait in self._waits.values() if now_s >= wait.due_s]
        if due:
            self._log_due(due)

    def count_by_pool(self) -> dict[str, float]:
        """Return how many tasks have waited for long, by pool."""
        counted: Counter[str] = Counter()
        for task, wait in self._waits.items():
            step = self._state.jobs.find_step(task)
            is_long = self._now_s >= wait.since_s + _REPORT_AFTER_S
            if step is not None and is_long:
                counted[self._state.jobs.get_queue(step).pool] += 1
        return {pool: float(count) for pool, count in counted.items()}

    def _log_due(self, due: list[_Wait]) -> None:
        """Log within the budget; tasks without a line for longest go first."""
        now_s = self._now_s
        self._reasons.clear()
        self._rooms.clear()
        self._fitting.clear()
        self._step_details.clear()
        for wait in sorted(due, key=attrgetter('logged_s')):
            step = self._state.jobs.find_step(wait.task)
            if step is not None and self._budget.take(now_s):
                self._log(wait, step)
                wait = wait._replace(due_s=now_s + _REPEAT_S, logged_s=now_s)
            else:
                wait = wait._replace(due_s=now_s + _RETRY_S)
            self._waits[wait.task] = wait

    def _log(self, wait: _Wait, step: StepState) -> None:
        state = self._state
        details = self._step_details.get(step.key)
        if details is None:
            details = self._describe(step)
            self._step_details[step.key] = details
        state.log(
            'task.waits',
            str(wait.task),
            waited_s=round(self._now_s - wait.since_s, 3),
            **details,
            omitted=self._budget.pop_omitted(),
        )

    def _describe(self, step: StepState) -> _Details:
        jobs = self._state.jobs
        pool = jobs.get_queue(step).pool
        is_in_cap = fits_team_cap(jobs, step, jobs.usage.by_team)
        return {
            'pool': pool,
            'millicores': step.spec.size.millicores,
            **self._describe_workers(step, pool),
            'is_over_cap': int(not is_in_cap),
        }

    def _describe_workers(self, step: StepState, pool: str) -> _Details:
        """Count the workers of the pool by what they mean for the step."""
        room = self._get_room(pool)
        fitting = self._get_fitting(pool, step.spec.reserved_size)
        allowed_count = self._count_allowed(step, fitting.usable)
        reasons = fitting.reasons
        return {
            'usable': allowed_count,
            'not_allowed': len(fitting.usable) - allowed_count,
            'withheld': reasons.total(),
            **{
                f'withheld_{reason}': count for reason, count in reasons.items()
            },
            'too_full': room.workers - len(fitting.usable) - reasons.total(),
            'free_millicores': room.free,
            'largest_free_millicores': room.largest_free,
        }

    def _count_allowed(self, step: StepState, usable: list[str]) -> int:
        on_worker = count_by_worker(step)
        workers = self._state.jobs.workers
        return sum(
            is_eligible(step, workers[name], on_worker)
            and self._is_allowed(step, workers[name], self._now_s)
            for name in usable
        )

    def _get_fitting(self, pool: str, size: Size) -> _FittingWorkers:
        fitting = self._fitting.get((pool, size))
        if fitting is None:
            fitting = _FittingWorkers([], Counter())
            free = self._state.jobs.usage.free
            for name in free.iterate_fitting(pool, size):
                reason = self._find_reason(name)
                if reason is None:
                    fitting.usable.append(name)
                else:
                    fitting.reasons[reason] += 1
            self._fitting[pool, size] = fitting
        return fitting

    def _get_room(self, pool: str) -> _PoolRoom:
        room = self._rooms.get(pool)
        if room is None:
            items = list(self._state.jobs.usage.free.iterate_emptiest(pool))
            free = [
                max(one.millicores, 0)
                for one in items
                if self._find_reason(one.worker) is None
            ]
            room = _PoolRoom(len(items), sum(free), max(free, default=0))
            self._rooms[pool] = room
        return room

    def _find_reason(self, name: str) -> WithheldReason | None:
        if name not in self._reasons:
            session = self._state.sessions.get(name)
            self._reasons[name] = (
                self._state.find_withheld_reason(session, self._now_s)
                if session
                else WithheldReason.not_synced
            )
        return self._reasons[name]
