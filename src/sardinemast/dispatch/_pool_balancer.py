"""Instances that change their pool, because another one needs them more.

Queues peak in turns. The pool whose turn it is lacks room for some seconds
while others stand nearly idle, and an instance of a standby pool is off and
costs nothing. A move ends whatever runs on the instance, so that only empty
workers are moved.
"""

from collections import Counter
from itertools import chain
from operator import itemgetter
from typing import NamedTuple

from sardinemast.dispatch._instance_events import (
    InstancesListed,
    ListInstances,
    MoveAnswered,
    OrderMove,
)
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._peak_history import recall_peaks
from sardinemast.dispatch._peaks import PeakTracker
from sardinemast.dispatch._pool_load import PoolLoad
from sardinemast.dispatch._pool_sizes import PoolNeed, count_needed
from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import MaintenanceStatus, Worker
from sardinemast.jobs.commands import ForgetWorker, NoteMove

# The list changes only by own moves and by instances that come and go.
_LIST_EVERY_S = 15.0
# A question without an answer is put again. A leader that does not know what
# stands by brings nothing in.
_LIST_AGAIN_S = 1.0
# The successor of a moved worker announces itself within about two seconds;
# after this the move is forgotten, and the instance counted where it is.
_UNDER_WAY_S = 5.0
_SWITCH_OFF_S = 2.0
# So many are under way to a pool at least; a large one may get as many as it
# has. Loads are measured several times before the first of them has come, and
# a mistaken measure must not empty the other pools.
_COMING_MIN = 8
# A move that was refused (the instance may still be moving) is left so long.
_REFUSED_S = 1.5


class _UnderWay(NamedTuple):
    pool: str
    until_s: float


class Moves:
    """Bring each pool to the number of workers that it needs."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._peaks: PeakTracker | None = None
        self._list_due_s: float = 0
        self._under_way: dict[str, _UnderWay] = {}
        self._chosen: dict[str, str] = {}
        self._idle_since_s: dict[str, float] = {}
        self._standby: dict[str, None] = {}
        self._refused_s: dict[tuple[str, str], float] = {}
        self._needs: dict[str, PoolNeed] = {}

    def start_term(self) -> None:
        """Forget what was under way in a former term."""
        self._peaks = None
        self._list_due_s = 0
        self._under_way.clear()
        self._chosen.clear()
        self._standby.clear()
        self._refused_s.clear()

    def tick(self, now_s: float, now_ms: int) -> None:
        """Move workers where the loads, measured just now, call for it."""
        loads = self._state.loads
        self._needs = self._measure_needs(loads)
        peaks = self._note_peaks(loads, now_s, now_ms)
        self._follow(now_s)
        self._send_chosen(now_s)
        self._note_idle(loads, now_s)
        if self._get_standby_pool() and now_s >= self._list_due_s:
            self._list_due_s = now_s + _LIST_AGAIN_S
            timeout_s = self._state.settings.answer_s
            self._state.outputs.append(ListInstances(timeout_s, now_s))
        lacking = {
            pool: self._count_lacking(pool, load, peaks, now_s)
            for pool, load in loads.items()
        }
        self._balance(loads, lacking, now_s)

    def note_applied(self, noted: NoteMove) -> None:
        """Send the order for a move that stands in the log."""
        move = self._under_way.get(noted.instance)
        if move is not None and move.pool == noted.pool:
            self._state.outputs.append(
                OrderMove(
                    noted.instance,
                    noted.pool,
                    self._state.term,
                    self._state.settings.answer_s,
                ),
            )

    def take_answer(self, answered: MoveAnswered, now_s: float) -> None:
        """Follow a move that was carried out, or decide anew."""
        if answered.outcome is OrderOutcome.refused:
            place = (answered.instance, answered.pool)
            self._refused_s[place] = now_s
            self._end(answered.instance)
        elif answered.outcome is OrderOutcome.done:
            self._forget_moved(answered)
            if answered.pool == self._get_standby_pool():
                self._standby[answered.instance] = None

    def take_list(self, listed: InstancesListed) -> None:
        """Learn which instances stand by."""
        self._list_due_s = listed.asked_s + _LIST_EVERY_S
        standby_pool = self._get_standby_pool()
        self._standby = {
            one.name: None
            for one in listed.instances
            if one.pool == standby_pool and one.is_up
        }

    def _note_peaks(
        self,
        loads: dict[str, PoolLoad],
        now_s: float,
        now_ms: int,
    ) -> PeakTracker:
        rooms = {pool: self._needs[pool].room for pool in loads}
        if self._peaks is None:
            jobs = self._state.jobs
            self._peaks = recall_peaks(jobs, rooms, now_s, now_ms)
        for pool, load in loads.items():
            if rooms[pool]:
                share = (load.passing + load.wanted) / rooms[pool]
                self._peaks.note(pool, share, now_s)
        queues = self._state.jobs.catalog.queues
        self._peaks.pool_count = len({queue.pool for queue in queues})
        return self._peaks

    def _measure_needs(
        self,
        loads: dict[str, PoolLoad],
    ) -> dict[str, PoolNeed]:
        usual = Counter(self._state.jobs.home_pools.values())
        largest: dict[str, int] = {}
        for contact in self._state.contacts.values():
            pool = contact.worker.pool
            millicores = contact.worker.capacity.millicores
            largest[pool] = max(largest.get(pool, 0), millicores)
        return {
            pool: PoolNeed(usual[pool], largest.get(pool, 0)) for pool in loads
        }

    def _count_lacking(
        self,
        pool: str,
        load: PoolLoad,
        peaks: PeakTracker,
        now_s: float,
    ) -> int:
        leaving = map(
            self._state.jobs.worker_index.find_newest, self._under_way
        )
        going = sum(
            worker is not None and worker.pool == pool for worker in leaving
        )
        coming = sum(
            move.pool == pool for move in self._under_way.values()
        ) + sum(target == pool for target in self._chosen.values())
        need = self._needs[pool]
        needed = count_needed(
            pool,
            load,
            need,
            peaks,
            now_s,
            self._state.settings.pools,
        )
        have = load.workers - going + coming
        coming_max = max(need.usual, _COMING_MIN)
        return min(needed - have, coming_max - coming)

    def _balance(
        self,
        loads: dict[str, PoolLoad],
        lacking: dict[str, int],
        now_s: float,
    ) -> None:
        # A worker that has just run something may get the next task of a job.
        idle_s = self._state.settings.pools.idle_s
        spare = {
            pool: [
                worker
                for worker in load.empty
                if now_s >= self._idle_since_s[worker.name] + idle_s
            ][: max(-lacking[pool], 0)]
            for pool, load in loads.items()
        }
        for pool, wanted in sorted(
            lacking.items(),
            key=itemgetter(1),
            reverse=True,
        ):
            if wanted > 0:
                wanted -= self._bring_in(pool, wanted, now_s)
            for workers in spare.values():
                while wanted > 0 and workers:
                    wanted -= self._choose(workers.pop(), pool, now_s)
        standby_pool = self._get_standby_pool()
        if standby_pool:
            for worker in chain.from_iterable(spare.values()):
                self._choose(worker, standby_pool, now_s)

    def _bring_in(self, pool: str, wanted: int, now_s: float) -> int:
        busy = self._state.list_upkeeps(
            MaintenanceStatus.ordered, MaintenanceStatus.down
        )
        ready = [
            name
            for name in self._standby
            if name not in self._under_way
            and name not in busy
            and self._state.is_settled(name, now_s)
            and not self._is_refused(name, pool, now_s)
        ]
        # One that is due for maintenance would be taken from the pool again
        # in the middle of its peak.
        due = self._state.list_upkeeps(MaintenanceStatus.waiting)
        ready.sort(key=due.__contains__)
        for name in ready[: max(wanted, 0)]:
            self._standby.pop(name)
            self._order(name, pool, now_s)
            self._state.log('instance.brought_in', name, to_pool=pool)
        return len(ready[:wanted])

    def _choose(self, worker: Worker, pool: str, now_s: float) -> bool:
        if not self._state.is_settled(worker.instance, now_s):
            return False
        if self._is_refused(worker.instance, pool, now_s):
            return False
        # A start may be on its way to it; it is moved once it has surely
        # got none.
        self._state.contacts[worker.name].is_resting = True
        self._chosen[worker.name] = pool
        return True

    def _send_chosen(self, now_s: float) -> None:
        chosen = dict(self._chosen)
        self._chosen.clear()
        for name, pool in chosen.items():
            contact = self._state.contacts.get(name)
            if contact is None:
                continue
            if self._state.get_runs(name) or contact.worker.is_draining:
                contact.is_resting = False
                continue
            worker = contact.worker
            self._order(worker.instance, pool, now_s)
            self._state.log(
                'instance.moved',
                worker.instance,
                worker=name,
                from_pool=worker.pool,
                to_pool=pool,
            )

    def _order(self, instance: str, pool: str, now_s: float) -> None:
        is_off = pool == self._get_standby_pool()
        lasts_s = _SWITCH_OFF_S if is_off else _UNDER_WAY_S
        self._under_way[instance] = _UnderWay(pool, now_s + lasts_s)
        self._state.moving.add(instance)
        self._state.propose(NoteMove(instance, pool, self._state.now_ms))

    def _follow(self, now_s: float) -> None:
        for instance, move in tuple(self._under_way.items()):
            worker = self._state.jobs.worker_index.find_newest(instance)
            is_there = worker is not None and worker.pool == move.pool
            if is_there or now_s > move.until_s:
                self._end(instance)

    def _end(self, instance: str) -> None:
        self._under_way.pop(instance, None)
        self._state.moving.discard(instance)
        for worker in self._state.jobs.worker_index.list_on_instance(instance):
            contact = self._state.contacts.get(worker.name)
            if contact is not None:
                contact.is_resting = False

    def _forget_moved(self, answered: MoveAnswered) -> None:
        # It ran nothing, so that nothing is lost if it should still be there;
        # then its next word brings it back.
        places = self._state.jobs.worker_index
        for worker in places.list_on_instance(answered.instance):
            if worker.pool != answered.pool:
                gone = ForgetWorker(worker.name, worker.boot_ms)
                self._state.propose(gone)

    def _note_idle(self, loads: dict[str, PoolLoad], now_s: float) -> None:
        empty = {
            worker.name for load in loads.values() for worker in load.empty
        }
        for name in self._idle_since_s.keys() - empty:
            self._idle_since_s.pop(name)
        for name in empty:
            self._idle_since_s.setdefault(name, now_s)

    def _is_refused(self, instance: str, pool: str, now_s: float) -> bool:
        refused_s = self._refused_s.get((instance, pool), float('-inf'))
        return now_s < refused_s + _REFUSED_S

    def _get_standby_pool(self) -> str:
        pools = self._state.jobs.catalog.pools
        return min((one.name for one in pools if one.is_standby), default='')
