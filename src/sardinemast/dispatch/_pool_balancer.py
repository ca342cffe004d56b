"""Move instances between pools and in and out of standby.

Queues peak in turns, so that one pool lacks capacity while others are nearly
idle. A move ends all runs on the instance, so only idle workers are moved.
Instances of the standby pool are switched off.
"""

from collections import Counter
from operator import itemgetter
from typing import NamedTuple

from sardinemast.dispatch._cordons import (
    bind_cordon,
    cordon_for_move,
    end_move_cordon,
)
from sardinemast.dispatch._instance_events import (
    InstancesListed,
    ListInstances,
    MoveAnswered,
    OrderMove,
)
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._peak_history import replay_peaks
from sardinemast.dispatch._peaks import PeakTracker
from sardinemast.dispatch._pool_load import PoolLoad
from sardinemast.dispatch._pool_prospects import list_prospects
from sardinemast.dispatch._pool_sizes import (
    PoolBaseline,
    count_workers_kept,
    count_workers_needed,
)
from sardinemast.dispatch._standby import StandbyInstances
from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import MaintenanceStatus, Worker
from sardinemast.jobs.commands import ForgetWorker, NoteMove

# Own moves are tracked; the list only reveals added and removed instances.
_LIST_INTERVAL_S = 15.0
# Without a list, no standby instances can be activated.
_LIST_RETRY_S = 1.0
# After this time without a new worker, a move is considered failed. The next
# worker announces itself within about two seconds.
_MOVE_TIMEOUT_S = 5.0
_SWITCH_OFF_TIMEOUT_S = 2.0
# Concurrent moves into a pool are limited to its baseline, or to this if that
# is larger, so that one wrong measurement does not drain the other pools.
_INCOMING_LIMIT_MIN = 8
# Delay before a refused move is retried.
_REFUSAL_BACKOFF_S = 1.5


class _PendingMove(NamedTuple):
    pool: str
    expires_s: float


class PoolBalancer:
    """Move instances until each pool has the workers that it needs."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._peaks: PeakTracker | None = None
        self._list_due_s: float = 0
        self._pending_moves: dict[str, _PendingMove] = {}
        self._planned_moves: dict[str, str] = {}
        self._idle_since_s: dict[str, float] = {}
        self._standby = StandbyInstances(state)
        self._refused_at_s: dict[tuple[str, str], float] = {}
        self._baselines: dict[str, PoolBaseline] = {}

    def start_term(self) -> None:
        """Discard the state of the previous term."""
        self._peaks = None
        self._list_due_s = 0
        self._pending_moves.clear()
        self._planned_moves.clear()
        self._standby.start_term()
        self._refused_at_s.clear()

    def tick(self, now_s: float, now_ms: int) -> None:
        """Move instances according to the latest pool loads."""
        loads = self._state.loads
        self._baselines = self._compute_baselines(loads)
        peaks = self._update_peaks(loads, now_s, now_ms)
        self._update_pending_moves(now_s)
        self._order_planned_moves(now_s)
        self._update_idle_times(loads, now_s)
        if self._get_standby_pool() and now_s >= self._list_due_s:
            self._list_due_s = now_s + _LIST_RETRY_S
            timeout_s = self._state.settings.answer_s
            self._state.outputs.append(ListInstances(timeout_s, now_s))
        shortfalls = {
            pool: self._count_shortfall(pool, load, peaks, now_s)
            for pool, load in loads.items()
        }
        self._balance(loads, shortfalls, peaks, now_s)
        is_listed = self._standby.is_listed or not self._get_standby_pool()
        self._state.prospects = list_prospects(
            loads,
            self._baselines,
            self._state.settings.pools,
            Counter(move.pool for move in self._pending_moves.values()),
            len(self._standby.list_allowed()) if is_listed else None,
        )

    def handle_applied(self, command: NoteMove) -> None:
        """Send the order for a move once it is recorded in the log."""
        move = self._pending_moves.get(command.instance)
        if move is not None and move.pool == command.pool:
            self._state.outputs.append(
                OrderMove(
                    command.instance,
                    command.pool,
                    self._state.term,
                    self._state.settings.answer_s,
                ),
            )

    def handle_answer(self, event: MoveAnswered, now_s: float) -> None:
        """Handle the outcome of a move."""
        if event.outcome is OrderOutcome.refused:
            key = (event.instance, event.pool)
            self._refused_at_s[key] = now_s
            self._finish_move(event.instance, 'move refused', now_s)
        elif event.outcome is OrderOutcome.done:
            if event.pool == self._get_standby_pool():
                self._standby.add(event.instance)
            self._propose_forget_workers(event)

    def handle_list(self, event: InstancesListed) -> None:
        """Update the set of available standby instances."""
        self._list_due_s = event.asked_s + _LIST_INTERVAL_S
        self._standby.handle_list(event, self._get_standby_pool())

    def _update_peaks(
        self,
        loads: dict[str, PoolLoad],
        now_s: float,
        now_ms: int,
    ) -> PeakTracker:
        capacities = {pool: self._baselines[pool].capacity for pool in loads}
        if self._peaks is None:
            jobs = self._state.jobs
            self._peaks = replay_peaks(jobs, capacities, now_s, now_ms)
        for pool, load in loads.items():
            if capacities[pool]:
                share = (load.batch + load.queued) / capacities[pool]
                self._peaks.record(pool, share, now_s)
        queues = self._state.jobs.catalog.queues
        self._peaks.pool_count = len({queue.pool for queue in queues})
        return self._peaks

    def _compute_baselines(
        self,
        loads: dict[str, PoolLoad],
    ) -> dict[str, PoolBaseline]:
        worker_counts = Counter(self._state.jobs.home_pools.values())
        largest_worker: dict[str, int] = {}
        for session in self._state.sessions.values():
            pool = session.worker.pool
            millicores = session.worker.capacity.millicores
            largest_worker[pool] = max(largest_worker.get(pool, 0), millicores)
        return {
            pool: PoolBaseline(worker_counts[pool], largest_worker.get(pool, 0))
            for pool in loads
        }

    def _count_shortfall(
        self,
        pool: str,
        load: PoolLoad,
        peaks: PeakTracker,
        now_s: float,
    ) -> int:
        moved_workers = map(
            self._state.jobs.worker_index.find_newest, self._pending_moves
        )
        outgoing = sum(
            worker is not None and worker.pool == pool
            for worker in moved_workers
        )
        incoming = sum(
            move.pool == pool for move in self._pending_moves.values()
        ) + sum(target == pool for target in self._planned_moves.values())
        baseline = self._baselines[pool]
        needed = count_workers_needed(
            pool,
            load,
            baseline,
            peaks,
            now_s,
            self._state.settings.pools,
        )
        expected_count = load.workers - outgoing + incoming
        incoming_max = max(baseline.worker_count, _INCOMING_LIMIT_MIN)
        return min(needed - expected_count, incoming_max - incoming)

    def _balance(
        self,
        loads: dict[str, PoolLoad],
        shortfalls: dict[str, int],
        peaks: PeakTracker,
        now_s: float,
    ) -> None:
        spare_workers = self._list_spare_workers(loads, shortfalls, now_s)
        for pool, wanted in sorted(
            shortfalls.items(),
            key=itemgetter(1),
            reverse=True,
        ):
            if wanted > 0:
                wanted -= self._activate_standby(pool, wanted, now_s)
            for workers in spare_workers.values():
                while wanted > 0 and workers:
                    wanted -= self._plan_move(workers.pop(), pool, now_s)
        if self._get_standby_pool():
            for name, spare in spare_workers.items():
                if not spare:
                    continue
                kept = self._count_kept(name, loads[name], peaks, now_s)
                surplus = max(loads[name].workers - kept, 0)
                self._switch_off(spare[:surplus], now_s)

    def _switch_off(self, workers: list[Worker], now_s: float) -> None:
        for worker in workers:
            self._plan_move(worker, self._get_standby_pool(), now_s)

    def _list_spare_workers(
        self,
        loads: dict[str, PoolLoad],
        shortfalls: dict[str, int],
        now_s: float,
    ) -> dict[str, list[Worker]]:
        # A worker that has just become idle may soon get another task of a job.
        idle_s = self._state.settings.pools.idle_s
        return {
            pool: [
                worker
                for worker in load.idle_workers
                if now_s >= self._idle_since_s[worker.name] + idle_s
            ][: max(-shortfalls[pool], 0)]
            for pool, load in loads.items()
        }

    def _count_kept(
        self,
        pool: str,
        load: PoolLoad,
        peaks: PeakTracker,
        now_s: float,
    ) -> int:
        return count_workers_kept(
            pool,
            load,
            self._baselines[pool],
            peaks,
            now_s,
            self._state.settings.pools,
        )

    def _activate_standby(self, pool: str, wanted: int, now_s: float) -> int:
        busy = self._state.list_instances_by_status(
            MaintenanceStatus.ordered, MaintenanceStatus.down
        )
        ready = [
            name
            for name in self._standby.list_allowed()
            if name not in self._pending_moves
            and name not in busy
            and self._state.may_order(name, now_s)
            and not self._was_refused(name, pool, now_s)
        ]
        # Instances due for maintenance come last, since they would leave the
        # pool again during its peak.
        due = self._state.list_instances_by_status(MaintenanceStatus.waiting)
        ready.sort(key=due.__contains__)
        for name in ready[: max(wanted, 0)]:
            self._standby.remove(name)
            self._order_move(name, pool, now_s)
            self._state.log('instance.brought_in', name, to_pool=pool)
        return len(ready[:wanted])

    def _plan_move(self, worker: Worker, pool: str, now_s: float) -> bool:
        if not self._state.may_order(worker.instance, now_s):
            return False
        if self._was_refused(worker.instance, pool, now_s):
            return False
        # A start for the worker may be in flight. It is cordoned now, and moved
        # at the next tick if it still has no runs.
        session = self._state.sessions[worker.name]
        cordon_for_move(self._state, session, pool, now_s)
        self._planned_moves[worker.name] = pool
        return True

    def _order_planned_moves(self, now_s: float) -> None:
        planned = dict(self._planned_moves)
        self._planned_moves.clear()
        for name, pool in planned.items():
            session = self._state.sessions.get(name)
            if session is None:
                continue
            # A later boot is not cordoned, and may get runs at any moment.
            if (
                not session.is_cordoned
                or self._state.get_runs(name)
                or not session.is_announced
                or session.is_draining
                or self._state.suspected.is_withheld(name)
            ):
                end_move_cordon(self._state, session, 'move abandoned', now_s)
                continue
            worker = session.worker
            bind_cordon(session)
            self._order_move(worker.instance, pool, now_s)
            self._state.log(
                'instance.moved',
                worker.instance,
                worker=name,
                from_pool=worker.pool,
                to_pool=pool,
            )

    def _order_move(self, instance: str, pool: str, now_s: float) -> None:
        is_off = pool == self._get_standby_pool()
        timeout_s = _SWITCH_OFF_TIMEOUT_S if is_off else _MOVE_TIMEOUT_S
        self._pending_moves[instance] = _PendingMove(pool, now_s + timeout_s)
        self._state.moving[instance] = pool
        self._state.propose(NoteMove(instance, pool, self._state.now_ms))

    def _update_pending_moves(self, now_s: float) -> None:
        for instance, move in tuple(self._pending_moves.items()):
            worker = self._state.jobs.worker_index.find_newest(instance)
            has_arrived = worker is not None and worker.pool == move.pool
            if has_arrived or now_s > move.expires_s:
                cause = 'move done' if has_arrived else 'move timed out'
                self._finish_move(instance, cause, now_s)
            elif worker is not None and worker.name in self._state.sessions:
                # It may have restarted since; the move would end its new runs.
                session = self._state.sessions[worker.name]
                cordon_for_move(self._state, session, move.pool, now_s)
                bind_cordon(session)

    def _finish_move(self, instance: str, cause: str, now_s: float) -> None:
        self._pending_moves.pop(instance, None)
        self._state.moving.pop(instance, None)
        for worker in self._state.jobs.worker_index.list_on_instance(instance):
            session = self._state.sessions.get(worker.name)
            if session is not None:
                end_move_cordon(self._state, session, cause, now_s)

    def _propose_forget_workers(self, event: MoveAnswered) -> None:
        # The workers were idle. One that still exists registers again with its
        # next announcement.
        places = self._state.jobs.worker_index
        for worker in places.list_on_instance(event.instance):
            if worker.pool != event.pool:
                gone = ForgetWorker(worker.name, worker.boot_ms)
                self._state.propose(gone)

    def _update_idle_times(
        self, loads: dict[str, PoolLoad], now_s: float
    ) -> None:
        idle = {
            worker.name
            for load in loads.values()
            for worker in load.idle_workers
        }
        for name in self._idle_since_s.keys() - idle:
            self._idle_since_s.pop(name)
        for name in idle:
            self._idle_since_s.setdefault(name, now_s)

    def _was_refused(self, instance: str, pool: str, now_s: float) -> bool:
        refused_at_s = self._refused_at_s.get((instance, pool), float('-inf'))
        return now_s < refused_at_s + _REFUSAL_BACKOFF_S

    def _get_standby_pool(self) -> str:
        pools = self._state.jobs.catalog.pools
        return min((one.name for one in pools if one.is_standby), default='')
