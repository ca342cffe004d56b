"""Run maintenance waves: drain workers and order their instances down."""

from collections import Counter
from collections.abc import Callable, Iterator

from sardinemast.dispatch._cordons import cordon_for_wave
from sardinemast.dispatch._disruptions import may_stop
from sardinemast.dispatch._instance_events import (
    InstancesListed,
    ListInstances,
    MaintenanceAnswered,
    OrderMaintenance,
)
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._pool_load import NO_LOAD
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import WorkerSession
from sardinemast.jobs import MaintenanceStatus, Wave, WaveItem, Worker
from sardinemast.jobs.commands import NoteUpkeep

_MS = 1000
_IN_PROGRESS = frozenset((MaintenanceStatus.ordered, MaintenanceStatus.down))
# Expected time from draining a worker until the next one announces itself, as
# seen on days without faults.
_CYCLE_S = 6.0
# Instances of a pool maintained at once to catch up after a peak.
_CATCH_UP_COUNT = 3
# Time before its deadline at which a wave is planned to be done.
_DEADLINE_MARGIN_S = 4.0
# How often the list shows whether an instance that refuses is lost, and whether
# a standby instance is back.
_LIST_INTERVAL_S = 1.0


class MaintenanceRunner:
    """Drain the workers of waves and order the maintenance of instances.

    An order ends everything that runs on the instance. It is recorded before
    it is sent, so that the next leader counts it against the wave's cap.
    """

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._cordoned_at_s: dict[str, float] = {}
        self._ordered_at_s: dict[tuple[int, str], float] = {}
        self._proposed: dict[tuple[int, str], MaintenanceStatus] = {}
        self._down_since_s: dict[str, float] = {}
        self._down_confirmed_s: dict[tuple[int, str], float] = {}
        self._list_requested_s = float('-inf')

    def start_term(self) -> None:
        """Discard the state of the previous term."""
        self._cordoned_at_s.clear()
        self._ordered_at_s.clear()
        self._proposed.clear()
        self._down_since_s.clear()
        self._down_confirmed_s.clear()

    def tick(self, now_s: float, now_ms: int) -> None:
        """Advance all unfinished waves and drain cordoned workers."""
        waves = [
            wave
            for wave in self._state.jobs.waves.values()
            if any(
                one.status is not MaintenanceStatus.done for one in wave.items
            )
        ]
        for wave in waves:
            self._advance(wave, self._find_workers(wave), now_s, now_ms)
        for session in self._state.sessions.values():
            if session.is_cordoned or session.worker.is_draining:
                self._drain(session, now_s)

    def handle_answer(self, event: MaintenanceAnswered, now_s: float) -> None:
        """Handle the answer to a maintenance order."""
        wave = self._state.jobs.waves.get(event.wave)
        if wave is None:
            return
        # A repeated order gets the same answer as the first, so this does not
        # show that current runs have ended. The next announcement does.
        if event.outcome is OrderOutcome.done:
            key = (event.wave, event.instance)
            self._down_confirmed_s.setdefault(key, now_s)
            self._propose_status(
                wave,
                event.instance,
                MaintenanceStatus.down,
                event.boot_ms,
            )
        elif event.is_unknown_instance:
            self._propose_status(wave, event.instance, MaintenanceStatus.done)
        elif self._is_lost(event, now_s):
            self._propose_status(wave, event.instance, MaintenanceStatus.done)
        else:
            self._state.log(
                'upkeep.not_done',
                event.instance,
                wave=wave.number,
                outcome=event.outcome.value,
                reason=event.reason,
            )

    def handle_applied(self, command: NoteUpkeep) -> None:
        """Handle a status that is recorded in the log."""
        self._proposed.pop((command.wave, command.instance), None)

    def handle_list(self, event: InstancesListed, now_s: float) -> None:
        """Update which instances are down or missing, and which are back."""
        names = {one.name for one in event.instances}
        down = {one.name for one in event.instances if one.is_down}
        up = {one.name for one in event.instances if one.is_up}
        for wave in self._state.jobs.waves.values():
            for item in wave.items:
                if item.instance in up:
                    self._record_return(wave, item, event.asked_s)
                if item.instance in names - down:
                    self._down_since_s.pop(item.instance, None)
                else:
                    self._down_since_s.setdefault(item.instance, now_s)

    def _is_lost(self, event: MaintenanceAnswered, now_s: float) -> bool:
        """Check whether an instance is lost, so that the wave can end.

        Instances that failed temporarily or are being moved recover before
        ``lost_after_s``.
        """
        if event.outcome is not OrderOutcome.refused:
            return False
        self._request_list(now_s)
        since_s = self._down_since_s.get(event.instance, now_s)
        return now_s >= since_s + self._state.settings.lost_after_s

    def _request_list(self, now_s: float) -> None:
        if now_s >= self._list_requested_s + _LIST_INTERVAL_S:
            self._list_requested_s = now_s
            timeout_s = self._state.settings.answer_s
            self._state.outputs.append(ListInstances(timeout_s, now_s))

    def _record_return(
        self, wave: Wave, item: WaveItem, asked_s: float
    ) -> None:
        """Record that a standby instance is back from maintenance.

        It has no worker that would announce itself. A list requested before
        the instance was taken down may still show it as up.
        """
        if item.status is not MaintenanceStatus.down or item.boot_ms:
            return
        key = (wave.number, item.instance)
        down_confirmed_s = self._down_confirmed_s.get(key, float('inf'))
        if asked_s > down_confirmed_s:
            self._propose_status(wave, item.instance, MaintenanceStatus.done)

    def _find_workers(self, wave: Wave) -> dict[str, Worker]:
        """Return the newest worker of each instance of a wave, if any."""
        found = {
            item.instance: self._state.jobs.worker_index.find_newest(
                item.instance
            )
            for item in wave.items
        }
        return {name: worker for name, worker in found.items() if worker}

    def _advance(
        self,
        wave: Wave,
        workers: dict[str, Worker],
        now_s: float,
        now_ms: int,
    ) -> None:
        for item in wave.items:
            worker = workers.get(item.instance)
            if item.status in _IN_PROGRESS:
                self._follow_up(wave, item, worker, now_s)
        # Instances do not check fencing tokens, so wait until orders of earlier
        # leaders can no longer arrive.
        if now_s >= self._state.settled_at_s:
            self._start_next(wave, workers, now_s, now_ms)

    def _follow_up(
        self,
        wave: Wave,
        item: WaveItem,
        worker: Worker | None,
        now_s: float,
    ) -> None:
        key = (wave.number, item.instance)
        settings = self._state.settings
        ordered_at_s = self._ordered_at_s.get(key)
        if item.status is MaintenanceStatus.down:
            # If no worker was known when the order was sent, an announcement
            # may be older than the order and does not count.
            boot_ms = worker.boot_ms if worker else 0
            is_back = 0 < item.boot_ms < boot_ms
            since_s = ordered_at_s or self._state.started_s
            if is_back or now_s >= since_s + settings.upkeep_max_s:
                self._propose_status(
                    wave, item.instance, MaintenanceStatus.done
                )
            elif not item.boot_ms:
                self._request_list(now_s)
        elif now_s >= self._state.settled_at_s:
            retry_at_s = (
                ordered_at_s or float('-inf')
            ) + settings.order_again_s
            if now_s >= retry_at_s and self._cordon_and_check_empty(
                wave, worker, now_s
            ):
                self._ordered_at_s[key] = now_s
                self._order(wave, item, worker)

    def _cordon_and_check_empty(
        self, wave: Wave, worker: Worker | None, now_s: float
    ) -> bool:
        """Cordon a worker and check whether its instance may be taken down.

        This also applies to recorded orders: a new leader does not know
        whether one was sent, nor which runs have started since.
        """
        session = self._state.sessions.get(worker.name) if worker else None
        if session is None:
            return True
        self._cordon(wave, session, now_s)
        return self._is_drained(session, now_s)

    def _order(
        self,
        wave: Wave,
        item: WaveItem,
        worker: Worker | None,
    ) -> None:
        self._state.outputs.append(
            OrderMaintenance(
                item.instance,
                wave.number,
                self._state.term,
                worker.boot_ms if worker else 0,
                self._state.settings.answer_s,
            ),
        )

    def _start_next(
        self,
        wave: Wave,
        workers: dict[str, Worker],
        now_s: float,
        now_ms: int,
    ) -> None:
        # The announcement after a move would be mistaken for the one after the
        # maintenance.
        waiting_items = [
            item
            for item in wave.items
            if item.status is MaintenanceStatus.waiting
            and item.instance not in self._state.moving
        ]
        in_progress = sum(item.status in _IN_PROGRESS for item in wave.items)
        in_progress += sum(
            key[0] == wave.number and status is MaintenanceStatus.ordered
            for key, status in self._proposed.items()
        )
        for item in self._choose_items(wave, waiting_items, workers, now_ms):
            worker = workers.get(item.instance)
            if (
                self._cordon_and_check_empty(wave, worker, now_s)
                and in_progress < wave.cap
            ):
                in_progress += 1
                self._propose_status(
                    wave,
                    item.instance,
                    MaintenanceStatus.ordered,
                    worker.boot_ms if worker else 0,
                )

    def _choose_items(
        self,
        wave: Wave,
        waiting_items: list[WaveItem],
        workers: dict[str, Worker],
        now_ms: int,
    ) -> Iterator[WaveItem]:
        """Yield the items to start, spreading each pool over the time left."""
        remaining_s = max(
            (wave.due_ms - now_ms) / _MS - _DEADLINE_MARGIN_S, _CYCLE_S
        )
        by_pool: Counter[str] = Counter()
        for item in waiting_items:
            worker = workers.get(item.instance)
            by_pool[worker.pool if worker else ''] += 1
        started: Counter[str] = Counter()
        for item in wave.items:
            worker = workers.get(item.instance)
            pool = worker.pool if worker else ''
            if item.status in _IN_PROGRESS:
                started[pool] += 1
        for item in sorted(waiting_items, key=self._make_sort_key(workers)):
            worker = workers.get(item.instance)
            if worker is None or self._serves_nothing(worker):
                # It serves nothing now, but may be needed for a peak later.
                yield item
                continue
            pool = worker.pool
            allowed = 1 + int(by_pool[pool] * _CYCLE_S / remaining_s)
            # A worker that is being drained leaves in any case. Its own tasks
            # may be what the pool lacks capacity for until it is back.
            may_start = worker.name in self._cordoned_at_s or (
                started[pool] < allowed
                and not self._is_deferred(pool, by_pool[pool], remaining_s)
            )
            if may_start and sum(started.values()) < wave.cap:
                started[pool] += 1
                yield item

    def _is_deferred(
        self, pool: str, remaining_count: int, remaining_s: float
    ) -> bool:
        """Check whether a pool lacks capacity and its instances can wait."""
        load = self._state.loads.get(pool, NO_LOAD)
        can_defer = remaining_count * _CYCLE_S / _CATCH_UP_COUNT < remaining_s
        return can_defer and load.shortfall > 0

    def _serves_nothing(self, worker: Worker) -> bool:
        """Check whether a worker is evacuated and has no runs."""
        has_runs = bool(self._state.get_runs(worker.name))
        return self._state.is_evacuated(worker) and not has_runs

    def _make_sort_key(
        self,
        workers: dict[str, Worker],
    ) -> Callable[[WaveItem], tuple[bool, int, str]]:
        def get_sort_key(item: WaveItem) -> tuple[bool, int, str]:
            worker = workers.get(item.instance)
            if worker is None or self._serves_nothing(worker):
                return (False, 0, item.instance)
            runs = self._state.get_runs(worker.name)
            is_cordoned = worker.name in self._cordoned_at_s
            return (not is_cordoned, len(runs), item.instance)

        return get_sort_key

    def _cordon(self, wave: Wave, session: WorkerSession, now_s: float) -> None:
        cordon_for_wave(self._state, session, wave.number, now_s)
        self._cordoned_at_s.setdefault(session.worker.name, now_s)

    def _is_drained(self, session: WorkerSession, now_s: float) -> bool:
        name = session.worker.name
        remaining = [
            step
            for _, _, step in self._state.iterate_steps_on(name)
            if step.spec.is_long_running and step.spec.max_unavailable
        ]
        if remaining:
            return False
        since_s = self._cordoned_at_s.get(name, now_s)
        is_waiting = now_s < since_s + self._state.settings.empty_max_s
        return not (is_waiting and self._state.get_runs(name))

    def _drain(self, session: WorkerSession, now_s: float) -> None:
        for task, number, step in tuple(
            self._state.iterate_steps_on(session.worker.name),
        ):
            if not step.spec.is_long_running:
                continue
            if may_stop(self._state, step, task, now_s):
                self._state.stop_run(session, task, number, now_s)

    def _propose_status(
        self,
        wave: Wave,
        instance: str,
        status: MaintenanceStatus,
        boot_ms: int = 0,
    ) -> None:
        key = (wave.number, instance)
        if self._proposed.get(key) is not status:
            self._proposed[key] = status
            self._state.log(
                f'upkeep.{status.value}',
                instance,
                wave=wave.number,
            )
            self._state.propose(
                NoteUpkeep(
                    wave.number,
                    instance,
                    status,
                    boot_ms,
                    self._state.now_ms,
                ),
            )
