"""Run maintenance waves: drain workers and order their instances down."""

from collections.abc import Mapping

from sardinemast.dispatch._absences import Absences
from sardinemast.dispatch._cordons import (
    bind_cordon,
    cordon_for_wave,
    end_cordon,
    is_cordoned_for_wave,
)
from sardinemast.dispatch._draining import Drainer
from sardinemast.dispatch._instance_events import (
    InstancesListed,
    ListInstances,
    MaintenanceAnswered,
    OrderMaintenance,
)
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._wave_order import IN_PROGRESS, WaveOrder
from sardinemast.dispatch._worker_session import WorkerSession
from sardinemast.jobs import MaintenanceStatus, Wave, WaveItem, Worker
from sardinemast.jobs.commands import NoteUpkeep

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
        self._wanted_cordons: set[str] = set()
        self._urgent: set[str] = set()
        self._drainer = Drainer(state)
        self._ordered_at_s: dict[tuple[int, str], float] = {}
        self._proposed: dict[tuple[int, str], MaintenanceStatus] = {}
        self._absences = Absences()
        self._down_confirmed_s: dict[tuple[int, str], float] = {}
        self._list_requested_s = float('-inf')

    def start_term(self) -> None:
        """Discard the state of the previous term."""
        self._drainer.start_term()
        self._ordered_at_s.clear()
        self._proposed.clear()
        self._absences.clear()
        self._down_confirmed_s.clear()

    @property
    def displaced_millicores(self) -> Mapping[str, int]:
        """Return, by pool, the tasks to be drained that find no room."""
        return self._drainer.without_room

    def tick(self, now_s: float, now_ms: int) -> None:
        """Advance all unfinished waves and drain cordoned workers."""
        waves = [
            wave
            for wave in self._state.jobs.waves.values()
            if any(
                one.status is not MaintenanceStatus.done for one in wave.items
            )
        ]
        self._wanted_cordons.clear()
        self._urgent.clear()
        for wave in waves:
            self._advance(wave, self._find_workers(wave), now_s, now_ms)
        self._release_workers(now_s)
        self._drainer.tick(self._urgent, now_s)

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
                    self._absences.record_present(item.instance)
                else:
                    worker = self._state.jobs.worker_index.find_newest(
                        item.instance
                    )
                    self._absences.record_absent(item.instance, worker, now_s)

    def _is_lost(self, event: MaintenanceAnswered, now_s: float) -> bool:
        """Check whether an instance is lost, so that the wave can end.

        Instances that failed temporarily or are being moved recover before
        ``lost_after_s``.
        """
        if event.outcome is not OrderOutcome.refused:
            return False
        self._request_list(now_s)
        absent_s = self._absences.get_duration_s(
            event.instance,
            self._state.jobs.worker_index.find_newest(event.instance),
            now_s,
        )
        if absent_s < self._state.settings.lost_after_s:
            return False
        self._state.log(
            'upkeep.given_up',
            event.instance,
            wave=event.wave,
            absent_s=round(absent_s, 3),
        )
        return True

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
            if item.status in IN_PROGRESS:
                self._keep_cordon(wave, item, worker, now_s)
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
            # An order of an earlier leader was executed before any poll of this
            # one; an answer to an own poll may be as old as its time-out.
            down_s = self._down_confirmed_s.get(key, float('-inf'))
            session = self._state.find_session(worker)
            is_back = _is_back(item, session, down_s + settings.answer_s)
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
                self._bind(worker)
                self._order(wave, item, worker)

    def _cordon_and_check_empty(
        self, wave: Wave, worker: Worker | None, now_s: float
    ) -> bool:
        """Cordon a worker and check whether its instance may be taken down.

        This also applies to recorded orders: a new leader does not know
        whether one was sent, nor which runs have started since.
        """
        session = self._state.find_session(worker)
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
        in_progress = self._count_in_progress(wave)
        urgent_count = 0
        for item, worker, is_urgent in WaveOrder(
            self._state, wave, workers, now_ms
        ).choose():
            is_empty = self._cordon_and_check_empty(wave, worker, now_s)
            if in_progress >= wave.cap:
                continue
            if worker and is_urgent and in_progress + urgent_count < wave.cap:
                urgent_count += not is_empty
                self._urgent.add(worker.name)
            if is_empty:
                in_progress += 1
                self._bind(worker)
                self._propose_status(
                    wave,
                    item.instance,
                    MaintenanceStatus.ordered,
                    worker.boot_ms if worker else 0,
                )

    def _count_in_progress(self, wave: Wave) -> int:
        """Count the instances that are ordered or down, or about to be."""
        proposed = sum(
            key[0] == wave.number and status is MaintenanceStatus.ordered
            for key, status in self._proposed.items()
        )
        return proposed + sum(item.status in IN_PROGRESS for item in wave.items)

    def _cordon(self, wave: Wave, session: WorkerSession, now_s: float) -> None:
        self._wanted_cordons.add(session.worker.name)
        cordon_for_wave(self._state, session, wave.number, now_s)

    def _bind(self, worker: Worker | None) -> None:
        session = self._state.find_session(worker)
        if session is not None:
            bind_cordon(session)

    def _keep_cordon(
        self,
        wave: Wave,
        item: WaveItem,
        worker: Worker | None,
        now_s: float,
    ) -> None:
        """Keep the worker cordoned that an order was recorded for.

        Until the order is answered it may be executed at any moment, and end
        the runs of a later boot as well.
        """
        session = self._state.find_session(worker)
        if session is None:
            return
        is_open = item.status is MaintenanceStatus.ordered
        if is_open or session.worker.boot_ms == item.boot_ms:
            self._cordon(wave, session, now_s)
            bind_cordon(session)
            self._urgent.add(session.worker.name)

    def _release_workers(self, now_s: float) -> None:
        """Release the workers whose maintenance is over or was put off."""
        for name, session in self._state.sessions.items():
            if name in self._wanted_cordons:
                continue
            if is_cordoned_for_wave(session):
                end_cordon(self._state, session, 'not in maintenance', now_s)

    def _is_drained(self, session: WorkerSession, now_s: float) -> bool:
        name = session.worker.name
        remaining = [
            step
            for _, _, step in self._state.iterate_steps_on(name)
            if step.spec.is_long_running and step.spec.max_unavailable
        ]
        if remaining:
            return False
        since_s = session.cordon.since_s if session.cordon else now_s
        is_waiting = now_s < since_s + self._state.settings.empty_max_s
        return not (is_waiting and self._state.get_runs(name))

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


def _is_back(
    item: WaveItem, session: WorkerSession | None, heard_after_s: float
) -> bool:
    """Check whether a worker has started since its instance was down.

    A later boot than that of the order may have started before the order was
    executed, and ended with it. One that answers polls after that has started
    since. If no worker was known when the order was sent, an announcement may
    be older than the order and does not count.
    """
    if session is None or not 0 < item.boot_ms < session.worker.boot_ms:
        return False
    is_known = session.is_synced and session.is_announced
    return is_known and session.last_heard_s > heard_after_s
