"""Estimate when a pool has capacity without stopping runs."""

from typing import NamedTuple

from sardinemast.dispatch._preemption_costs import get_elapsed_s, get_expected_s
from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import Size, StepState

_MS = 1000


class _ExpectedEnd(NamedTuple):
    in_ms: float
    freed: Size


class ExpectedEnds:
    """Estimate when the runs on the workers of a pool end by themselves."""

    def __init__(self, state: DispatchState, now_s: float) -> None:
        self._state = state
        self._now_s = now_s
        self._ends_ms: dict[str, list[_ExpectedEnd]] = {}

    def get_wait_ms(self, pool: str, size: Size) -> float:
        """Return when a worker of a pool is expected to fit a task."""
        workers = self._state.jobs.usage.free.list_workers(pool)
        return min(
            (self._get_wait_on_ms(worker, size) for worker in workers),
            default=float('inf'),
        )

    def _get_wait_on_ms(self, worker: str, size: Size) -> float:
        session = self._state.sessions.get(worker)
        if session is None or not self._state.is_usable(session, self._now_s):
            return float('inf')
        free = self._state.jobs.usage.free.get(worker)
        for in_ms, freed in self._list_ends_ms(worker):
            free = free.plus(freed)
            if size.fits(free):
                return in_ms
        return float('inf')

    def _list_ends_ms(self, worker: str) -> list[_ExpectedEnd]:
        """Return the expected ends of tasks that end by themselves."""
        if worker not in self._ends_ms:
            self._ends_ms[worker] = sorted(
                _ExpectedEnd(
                    self._get_end_ms(step, task.position),
                    step.spec.reserved_size,
                )
                for task, _, step in self._state.iterate_steps_on(worker)
                if not step.spec.is_long_running
            )
        return self._ends_ms[worker]

    def _get_end_ms(self, step: StepState, position: int) -> float:
        elapsed_s = get_elapsed_s(self._state, step, position, self._now_s)
        expected_s = get_expected_s(self._state, step)
        return max(expected_s - (elapsed_s or 0), 0) * _MS
