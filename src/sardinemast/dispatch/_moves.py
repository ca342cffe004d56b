"""Instances that change their pool, because another one needs them more.

Queues peak in turns. The pool whose turn it is lacks room for some seconds
while others stand nearly idle. A move ends whatever runs on the instance, so
that only empty workers are moved, and takes a second or two, so that it pays
within a turn. Instances of standby pools cost nothing while they are off;
they come in for a peak, and go back once nothing needs them.
"""

from typing import NamedTuple

from sardinemast.dispatch._events import (
    InstancesListed,
    ListedInstance,
    ListInstances,
    MoveAnswered,
    OrderMove,
    OrderOutcome,
)
from sardinemast.dispatch._loads import PoolLoad
from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import Worker

_LIST_EVERY_S = 3.0
# The successor of a moved worker announces itself within about two seconds;
# after this the move is forgotten, and the instance counted where it is.
_UNDER_WAY_S = 5.0
# A pool gives a worker away only while this share of its room stays free.
_KEPT_FREE = 0.4
# A pool that has peaked lately does not peak again soon. One that has not
# been seen to peak keeps its workers for its own turn.
_LATELY_S = 6.0
_TAKEN_AT_ONCE = 8
# So much of its room a pool lacks, for so long, before it is helped. Less is
# made good by the tasks that end in the meantime.
_SHORT_SHARE = 0.15
_SHORT_S = 0.25
# One that came for a peak stays on for what follows, and goes home well
# before its own pool's next turn.
_IDLE_S = 1.2
# A move that was refused is not tried again for so long.
_REFUSED_S = 10.0


class _UnderWay(NamedTuple):
    pool: str
    since_s: float


class Moves:
    """Move empty workers to where work waits for room."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._list_due_s: float = 0
        self._under_way: dict[str, _UnderWay] = {}
        self._chosen: dict[str, _UnderWay] = {}
        self._peaked_s: dict[str, float] = {}
        self._idle_since_s: dict[str, float] = {}
        self._standby: dict[str, ListedInstance] = {}
        self._short_since_s: dict[str, float] = {}
        self._homes: dict[str, str] = {}
        self._refused_s: dict[tuple[str, str], float] = {}

    def start_term(self) -> None:
        """Forget what was under way in a former term."""
        self._list_due_s = 0
        self._short_since_s.clear()
        self._homes.clear()
        self._refused_s.clear()
        self._under_way.clear()
        self._chosen.clear()
        self._standby.clear()

    def tick(self, now_s: float) -> None:
        """Move workers where the loads, measured just now, call for it."""
        if now_s < self._state.started_s + self._state.settings.settle_s:
            return
        self._follow(now_s)
        self._send_chosen(now_s)
        loads = dict(self._state.loads)
        self._note_idle(loads, now_s)
        for pool, load in loads.items():
            if load.missing > _SHORT_SHARE * load.room:
                self._peaked_s[pool] = now_s
                self._short_since_s.setdefault(pool, now_s)
            else:
                self._short_since_s.pop(pool, None)
        for pool in sorted(
            self._short_since_s,
            key=lambda name: -loads[name].missing,
        ):
            self._help(pool, loads, now_s)
        self._go_home(loads, now_s)

    def take_answer(self, answered: MoveAnswered, now_s: float) -> None:
        """Forget a move that was refused; it is decided anew."""
        if answered.outcome is OrderOutcome.refused:
            place = (answered.instance, answered.pool)
            self._refused_s[place] = now_s
            self._end(answered.instance)

    def take_list(self, listed: InstancesListed) -> None:
        """Learn which instances stand by."""
        pools = self._get_standby_pools()
        self._standby = {
            one.name: one
            for one in listed.instances
            if one.pool in pools and one.is_up
        }

    def _get_standby_pools(self) -> set[str]:
        pools = self._state.jobs.catalog.pools
        return {pool.name for pool in pools if pool.is_standby}

    def _follow(self, now_s: float) -> None:
        arrived = {
            worker.instance: worker.pool
            for worker in self._state.jobs.workers.values()
        }
        for instance, move in tuple(self._under_way.items()):
            is_there = arrived.get(instance) == move.pool
            if is_there or now_s > move.since_s + _UNDER_WAY_S:
                self._end(instance)

    def _end(self, instance: str) -> None:
        self._under_way.pop(instance, None)
        for contact in self._state.contacts.values():
            if contact.worker.instance == instance:
                contact.is_resting = False

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

    def _help(
        self,
        pool: str,
        loads: dict[str, PoolLoad],
        now_s: float,
    ) -> None:
        load = loads[pool]
        if now_s < self._short_since_s.get(pool, now_s) + _SHORT_S:
            return
        coming = sum(
            move.pool == pool
            for move in (*self._under_way.values(), *self._chosen.values())
        )
        size = self._get_typical_size(pool)
        wanted = -(-load.missing // size) - coming if size else 0
        wanted = min(wanted, _TAKEN_AT_ONCE - coming)
        if wanted > 0:
            wanted -= self._bring_in(pool, wanted, now_s)
        if wanted > 0:
            self._borrow(pool, wanted, loads, now_s)

    def _get_typical_size(self, pool: str) -> int:
        rooms = [
            contact.worker.room.millicores
            for contact in self._state.contacts.values()
            if contact.worker.pool == pool
        ]
        return max(rooms, default=0)

    def _borrow(
        self,
        pool: str,
        wanted: int,
        loads: dict[str, PoolLoad],
        now_s: float,
    ) -> None:
        donors = [name for name in loads if name != pool]
        donors.sort(key=lambda name: -self._peaked_s.get(name, 0))
        for donor in donors:
            if now_s > self._peaked_s.get(donor, float('-inf')) + _LATELY_S:
                continue
            while wanted > 0 and _can_give(loads[donor]):
                worker, loads[donor] = _give(loads[donor])
                if not self._is_refused(worker.instance, pool, now_s):
                    self._choose(worker, pool, now_s)
                    wanted -= 1

    def _choose(self, worker: Worker, pool: str, now_s: float) -> None:
        self._homes.setdefault(worker.instance, worker.pool)
        # A start may be on its way to it; it is moved once it has surely
        # got none.
        contact = self._state.contacts[worker.name]
        contact.is_resting = True
        self._chosen[worker.name] = _UnderWay(pool, now_s)

    def _send_chosen(self, now_s: float) -> None:
        chosen, self._chosen = self._chosen, {}
        for name, move in chosen.items():
            contact = self._state.contacts.get(name)
            if contact is None:
                continue
            if self._state.get_runs(name) or contact.worker.is_draining:
                contact.is_resting = False
                continue
            self._order(contact.worker, move.pool, now_s)

    def _order(self, worker: Worker, pool: str, now_s: float) -> None:
        self._send_order(worker.instance, pool, now_s)
        self._state.log(
            'instance.moved',
            worker.instance,
            worker=worker.name,
            from_pool=worker.pool,
            to_pool=pool,
        )

    def _send_order(self, instance: str, pool: str, now_s: float) -> None:
        self._under_way[instance] = _UnderWay(pool, now_s)
        self._state.outputs.append(
            OrderMove(
                instance,
                pool,
                self._state.term,
                self._state.settings.answer_s,
            ),
        )

    def _bring_in(self, pool: str, wanted: int, now_s: float) -> int:
        if not self._get_standby_pools():
            return 0
        if now_s >= self._list_due_s:
            self._list_due_s = now_s + _LIST_EVERY_S
            self._state.outputs.append(
                ListInstances(self._state.settings.answer_s),
            )
        ready = [
            name
            for name in self._standby
            if name not in self._under_way
            and not self._is_refused(name, pool, now_s)
        ]
        for name in ready[:wanted]:
            self._homes[name] = self._standby.pop(name).pool
            self._send_order(name, pool, now_s)
            self._state.log('instance.brought_in', name, to_pool=pool)
        return len(ready[:wanted])

    def _go_home(self, loads: dict[str, PoolLoad], now_s: float) -> None:
        for load in loads.values():
            if load.missing > 0:
                continue
            for worker in load.empty:
                home = self._homes.get(worker.instance, worker.pool)
                idle_s = now_s - self._idle_since_s[worker.name]
                if home != worker.pool and idle_s >= _IDLE_S:
                    self._choose(worker, home, now_s)


def _can_give(load: PoolLoad) -> bool:
    if not load.empty or load.missing > 0:
        return False
    left = load.free - load.empty[-1].room.millicores
    room = load.room - load.empty[-1].room.millicores
    return left >= _KEPT_FREE * room


def _give(load: PoolLoad) -> tuple[Worker, PoolLoad]:
    worker = load.empty[-1]
    millicores = worker.room.millicores
    return worker, load._replace(
        room=load.room - millicores,
        free=load.free - millicores,
        empty=load.empty[:-1],
    )
