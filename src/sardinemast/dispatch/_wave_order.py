"""Choose which instances of a wave are maintained next."""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from sardinemast.dispatch._cordons import is_cordoned_for_wave
from sardinemast.dispatch._pool_load import NO_LOAD
from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import MaintenanceStatus, Wave, WaveItem, Worker

_MS = 1000
IN_PROGRESS = frozenset((MaintenanceStatus.ordered, MaintenanceStatus.down))
# Expected time from draining a worker until the next one announces itself, as
# seen on days without faults.
_CYCLE_S = 6.0
# Instances of a pool maintained at once to catch up after a peak.
_CATCH_UP_COUNT = 3
# Time before its deadline at which a wave is planned to be done.
_DEADLINE_MARGIN_S = 4.0
# Order of the instances of a wave.
_CORDONED_FIRST, _UNUSED_NEXT, _OTHERS_LAST = range(3)


class ChosenItem(NamedTuple):
    """Hold an instance to maintain next and its worker, if it has one.

    If it ``is_urgent``, the wave cannot wait for room for the worker's tasks.
    """

    item: WaveItem
    worker: Worker | None
    is_urgent: bool = False


class WaveOrder:
    """Choose items in the order in which their workers are cordoned.

    Each pool is spread over the time left, within the cap of the wave.
    """

    def __init__(
        self,
        state: DispatchState,
        wave: Wave,
        workers: Mapping[str, Worker],
        now_ms: int,
    ) -> None:
        self._state = state
        self._cap = wave.cap
        # The announcement after a move would be mistaken for the one after
        # the maintenance.
        self._waiting = [
            ChosenItem(item, workers.get(item.instance))
            for item in wave.items
            if item.status is MaintenanceStatus.waiting
            and item.instance not in state.moving
        ]
        self._remaining_s = (wave.due_ms - now_ms) / _MS - _DEADLINE_MARGIN_S
        self._waiting_counts = Counter(
            one.worker.pool for one in self._waiting if one.worker
        )
        self._started = Counter(
            _get_pool(workers.get(item.instance))
            for item in wave.items
            if item.status in IN_PROGRESS
        )

    def choose(self) -> Iterator[ChosenItem]:
        """Yield the items to start, those of drained workers first."""
        for one in sorted(self._waiting, key=self._get_sort_key):
            # What serves nothing now may be needed for a peak later.
            if one.worker is None or self._serves_nothing(one.worker):
                yield one
            elif self._may_start(one.worker):
                self._started[one.worker.pool] += 1
                is_urgent = not self._can_defer(one.worker.pool)
                yield one._replace(is_urgent=is_urgent)

    def _may_start(self, worker: Worker) -> bool:
        # A worker that is being drained leaves in any case. Its own tasks may
        # be what the pool lacks capacity for until it is back.
        if self._is_cordoned(worker):
            return True
        count = self._waiting_counts[worker.pool]
        allowed = 1 + int(count * _CYCLE_S / max(self._remaining_s, _CYCLE_S))
        return (
            self._started.total() < self._cap
            and self._started[worker.pool] < allowed
            and not self._is_deferred(worker.pool)
        )

    def _is_deferred(self, pool: str) -> bool:
        """Check whether a pool lacks capacity and its instances can wait."""
        load = self._state.loads.get(pool, NO_LOAD)
        return load.shortfall > 0 and self._can_defer(pool)

    def _can_defer(self, pool: str) -> bool:
        needed_s = self._waiting_counts[pool] * _CYCLE_S / _CATCH_UP_COUNT
        return needed_s < self._remaining_s

    def _is_cordoned(self, worker: Worker) -> bool:
        return is_cordoned_for_wave(self._state.find_session(worker))

    def _serves_nothing(self, worker: Worker) -> bool:
        """Check whether a worker is evacuated and has no runs."""
        has_runs = bool(self._state.get_runs(worker.name))
        return self._state.is_evacuated(worker) and not has_runs

    def _get_sort_key(self, one: ChosenItem) -> tuple[int, int, str]:
        if one.worker is None:
            return (_UNUSED_NEXT, 0, one.item.instance)
        run_count = len(self._state.get_runs(one.worker.name))
        rank = _OTHERS_LAST
        if self._is_cordoned(one.worker):
            # Once drained it serves nothing until its instance is maintained.
            rank = _CORDONED_FIRST
        elif self._serves_nothing(one.worker):
            rank = _UNUSED_NEXT
        return (rank, run_count, one.item.instance)


def _get_pool(worker: Worker | None) -> str:
    return worker.pool if worker else ''
