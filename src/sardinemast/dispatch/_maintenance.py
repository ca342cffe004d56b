"""Maintenance of instances: waves, and workers that are emptied for them."""

from collections import Counter
from collections.abc import Callable, Iterator

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
from sardinemast.dispatch._worker_session import Contact
from sardinemast.jobs import MaintenanceStatus, Wave, WaveItem, Worker
from sardinemast.jobs.commands import NoteUpkeep

_MS = 1000
_BUSY = frozenset((MaintenanceStatus.ordered, MaintenanceStatus.down))
# From emptying a worker to its successor's first word, seen on quiet days.
_TURN_S = 6.0
# So many of a pool at once make up for what was put off in its peak.
_AT_ONCE = 3
# A wave is planned to end so much before its deadline.
_RESERVE_S = 4.0
# While an instance refuses, it is looked up so often whether it is lost, and
# while one that stands by is down, whether it is back.
_LIST_EVERY_S = 1.0


class Upkeep:
    """Empty the workers of a wave and have their instances maintained.

    An order takes everything down that runs on the instance. It is in the
    log before it is sent, so that the next leader counts it against the cap.
    """

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._emptied_s: dict[str, float] = {}
        self._ordered_s: dict[tuple[int, str], float] = {}
        self._noting: dict[tuple[int, str], MaintenanceStatus] = {}
        self._down_since_s: dict[str, float] = {}
        self._taken_down_s: dict[tuple[int, str], float] = {}
        self._listed_s = float('-inf')

    def start_term(self) -> None:
        """Forget what was under way in a former term."""
        self._emptied_s.clear()
        self._ordered_s.clear()
        self._noting.clear()
        self._down_since_s.clear()
        self._taken_down_s.clear()

    def tick(self, now_s: float, now_ms: int) -> None:
        """Go on with each wave that is not done."""
        waves = [
            wave
            for wave in self._state.jobs.waves.values()
            if any(
                one.status is not MaintenanceStatus.done for one in wave.items
            )
        ]
        for wave in waves:
            self._go_on(wave, self._find_workers(wave), now_s, now_ms)
        for contact in self._state.contacts.values():
            if contact.is_resting or contact.worker.is_draining:
                self._empty(contact, now_s)

    def take_answer(self, answered: MaintenanceAnswered, now_s: float) -> None:
        """Take the answer to an order."""
        wave = self._state.jobs.waves.get(answered.wave)
        if wave is None:
            return
        # What ran there has ended only if the order was carried out just now,
        # and the answer is the same where that was before. The successor's
        # first word tells it.
        if answered.outcome is OrderOutcome.done:
            place = (answered.wave, answered.instance)
            self._taken_down_s.setdefault(place, now_s)
            self._note(
                wave,
                answered.instance,
                MaintenanceStatus.down,
                answered.boot_ms,
            )
        elif answered.is_unknown_instance:
            self._note(wave, answered.instance, MaintenanceStatus.done)
        elif self._is_given_up(answered, now_s):
            self._note(wave, answered.instance, MaintenanceStatus.done)
        else:
            self._state.log(
                'upkeep.not_done',
                answered.instance,
                wave=wave.number,
                outcome=answered.outcome.value,
                reason=answered.reason,
            )

    def note_applied(self, noted: NoteUpkeep) -> None:
        """Go on with an item whose status stands in the log."""
        self._noting.pop((noted.wave, noted.instance), None)

    def take_list(self, listed: InstancesListed, now_s: float) -> None:
        """Learn which instances are down or gone, and which are back."""
        names = {one.name for one in listed.instances}
        down = {one.name for one in listed.instances if one.is_down}
        up = {one.name for one in listed.instances if one.is_up}
        for wave in self._state.jobs.waves.values():
            for item in wave.items:
                if item.instance in up:
                    self._note_back(wave, item, listed.asked_s)
                if item.instance in names - down:
                    self._down_since_s.pop(item.instance, None)
                else:
                    self._down_since_s.setdefault(item.instance, now_s)

    def _is_given_up(self, answered: MaintenanceAnswered, now_s: float) -> bool:
        """Tell whether an instance is lost, so that the wave ends without it.

        It refuses for ever, and the wave would never be done. One that only
        failed, or is moved just now, is back by then.
        """
        if answered.outcome is not OrderOutcome.refused:
            return False
        self._ask_for_list(now_s)
        since_s = self._down_since_s.get(answered.instance, now_s)
        return now_s >= since_s + self._state.settings.lost_after_s

    def _ask_for_list(self, now_s: float) -> None:
        if now_s >= self._listed_s + _LIST_EVERY_S:
            self._listed_s = now_s
            timeout_s = self._state.settings.answer_s
            self._state.outputs.append(ListInstances(timeout_s, now_s))

    def _note_back(self, wave: Wave, item: WaveItem, asked_s: float) -> None:
        """Note that an instance that stands by is back from maintenance.

        It has no worker that would announce itself. A list that was asked for
        before the instance was taken down may still show it as up.
        """
        if item.status is not MaintenanceStatus.down or item.boot_ms:
            return
        place = (wave.number, item.instance)
        taken_s = self._taken_down_s.get(place, float('inf'))
        if asked_s > taken_s:
            self._note(wave, item.instance, MaintenanceStatus.done)

    def _find_workers(self, wave: Wave) -> dict[str, Worker]:
        """Give the newest worker of each instance of a wave that has one."""
        found = {
            item.instance: self._state.jobs.worker_index.find_newest(
                item.instance
            )
            for item in wave.items
        }
        return {name: worker for name, worker in found.items() if worker}

    def _go_on(
        self,
        wave: Wave,
        workers: dict[str, Worker],
        now_s: float,
        now_ms: int,
    ) -> None:
        for item in wave.items:
            worker = workers.get(item.instance)
            if item.status in _BUSY:
                self._follow(wave, item, worker, now_s)
        # Without checked fences only time keeps two leaders' orders apart.
        if now_s >= self._state.settled_at_s:
            self._begin(wave, workers, now_s, now_ms)

    def _follow(
        self,
        wave: Wave,
        item: WaveItem,
        worker: Worker | None,
        now_s: float,
    ) -> None:
        place = (wave.number, item.instance)
        settings = self._state.settings
        ordered_s = self._ordered_s.get(place)
        if item.status is MaintenanceStatus.down:
            # Of a worker that was not known when the order was sent, the
            # first word may have been on its way; only time tells there.
            boot_ms = worker.boot_ms if worker else 0
            is_back = 0 < item.boot_ms < boot_ms
            since_s = ordered_s or self._state.started_s
            if is_back or now_s >= since_s + settings.upkeep_max_s:
                self._note(wave, item.instance, MaintenanceStatus.done)
            elif not item.boot_ms:
                self._ask_for_list(now_s)
        elif now_s >= self._state.settled_at_s:
            again_s = (ordered_s or float('-inf')) + settings.order_again_s
            if now_s >= again_s and self._is_ready(worker, now_s):
                self._ordered_s[place] = now_s
                self._order(wave, item, worker)

    def _is_ready(self, worker: Worker | None, now_s: float) -> bool:
        """Tell whether the worker runs nothing that must not be taken down.

        A leader that finds an order in the log does not know whether it was
        sent, nor what the worker has got since.
        """
        contact = self._state.contacts.get(worker.name) if worker else None
        if contact is None:
            return True
        self._rest(contact, now_s)
        return self._is_empty(contact, now_s)

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

    def _begin(
        self,
        wave: Wave,
        workers: dict[str, Worker],
        now_s: float,
        now_ms: int,
    ) -> None:
        # The first word after a move would pass for that after the order.
        waiting = [
            item
            for item in wave.items
            if item.status is MaintenanceStatus.waiting
            and item.instance not in self._state.moving
        ]
        busy = sum(item.status in _BUSY for item in wave.items)
        busy += sum(
            place[0] == wave.number and status is MaintenanceStatus.ordered
            for place, status in self._noting.items()
        )
        for item in self._choose(wave, waiting, workers, now_ms):
            worker = workers.get(item.instance)
            if self._is_ready(worker, now_s) and busy < wave.cap:
                busy += 1
                self._note(
                    wave,
                    item.instance,
                    MaintenanceStatus.ordered,
                    worker.boot_ms if worker else 0,
                )

    def _choose(
        self,
        wave: Wave,
        waiting: list[WaveItem],
        workers: dict[str, Worker],
        now_ms: int,
    ) -> Iterator[WaveItem]:
        """Give the items whose turn it is: a few of each pool at a time."""
        left_s = max((wave.due_ms - now_ms) / _MS - _RESERVE_S, _TURN_S)
        by_pool: Counter[str] = Counter()
        for item in waiting:
            worker = workers.get(item.instance)
            by_pool[worker.pool if worker else ''] += 1
        taken: Counter[str] = Counter()
        for item in wave.items:
            worker = workers.get(item.instance)
            pool = worker.pool if worker else ''
            if item.status in _BUSY:
                taken[pool] += 1
        for item in sorted(waiting, key=self._get_order(workers)):
            worker = workers.get(item.instance)
            if worker is None:
                # Nobody misses one that stands by. In a pool it would be.
                yield item
                continue
            pool = worker.pool
            allowed = 1 + int(by_pool[pool] * _TURN_S / left_s)
            if self._is_put_off(pool, by_pool[pool], left_s):
                continue
            if sum(taken.values()) < wave.cap and taken[pool] < allowed:
                taken[pool] += 1
                yield item

    def _is_put_off(self, pool: str, due: int, left_s: float) -> bool:
        """Tell whether there is time to let the pool's peak pass first."""
        load = self._state.loads.get(pool, NO_LOAD)
        can_wait = due * _TURN_S / _AT_ONCE < left_s
        return can_wait and load.missing > 0

    def _get_order(
        self,
        workers: dict[str, Worker],
    ) -> Callable[[WaveItem], tuple[bool, int, str]]:
        def get_order(item: WaveItem) -> tuple[bool, int, str]:
            worker = workers.get(item.instance)
            if worker is None:
                return (False, 0, item.instance)
            runs = self._state.get_runs(worker.name)
            is_resting = worker.name in self._emptied_s
            return (not is_resting, len(runs), item.instance)

        return get_order

    def _rest(self, contact: Contact, now_s: float) -> None:
        contact.is_resting = True
        self._emptied_s.setdefault(contact.worker.name, now_s)

    def _is_empty(self, contact: Contact, now_s: float) -> bool:
        name = contact.worker.name
        left = [
            step
            for _, _, step in self._state.iterate_steps_on(name)
            if step.spec.is_long_running and step.spec.max_unavailable
        ]
        if left:
            return False
        since_s = self._emptied_s.get(name, now_s)
        is_patient = now_s < since_s + self._state.settings.empty_max_s
        return not (is_patient and self._state.get_runs(name))

    def _empty(self, contact: Contact, now_s: float) -> None:
        for task, number, step in tuple(
            self._state.iterate_steps_on(contact.worker.name),
        ):
            if not step.spec.is_long_running:
                continue
            if may_stop(self._state, step, task, now_s):
                self._state.stop(contact, task, number, now_s)

    def _note(
        self,
        wave: Wave,
        instance: str,
        status: MaintenanceStatus,
        boot_ms: int = 0,
    ) -> None:
        place = (wave.number, instance)
        if self._noting.get(place) is not status:
            self._noting[place] = status
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
