"""Move long-running tasks off workers that are to be emptied."""

from collections import Counter
from collections.abc import Container

from sardinemast.dispatch._disruptions import count_stoppable, may_stop
from sardinemast.dispatch._spare_room import SpareRoom
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import WorkerSession
from sardinemast.jobs import StepState, TaskKey

# A stop takes longer than this, and the room is measured each time.
_INTERVAL_S = 0.1


class Drainer:
    """Stop long-running tasks on cordoned and draining workers.

    A task is stopped once another worker of its pool has room for it;
    otherwise it would wait, possibly for as long as the wave lasts. The tasks
    of a worker whose maintenance is urgent are also stopped without, if that
    empties the worker at once. ``without_room`` holds, by pool, the millicores
    of the tasks that must leave and find no room.
    """

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._rooms: dict[str, SpareRoom] = {}
        self.without_room: Counter[str] = Counter()
        self._next_s = float('-inf')

    def start_term(self) -> None:
        """Discard the state of the previous term."""
        self._next_s = float('-inf')
        self.without_room.clear()

    def tick(self, urgent: Container[str], now_s: float) -> None:
        """Stop the tasks that may be moved now; count those without room."""
        if now_s < self._next_s:
            return
        self._next_s = now_s + _INTERVAL_S
        self._rooms.clear()
        self.without_room.clear()
        for name, session in self._state.sessions.items():
            if self._is_to_be_emptied(session):
                is_forced = name in urgent and self._can_empty(session, now_s)
                self._drain(session, now_s, is_forced=is_forced)

    def _is_to_be_emptied(self, session: WorkerSession) -> bool:
        return session.is_cordoned or session.is_draining

    def _drain(
        self, session: WorkerSession, now_s: float, *, is_forced: bool
    ) -> None:
        for task, number, step in self._list_runs(session):
            if not may_stop(self._state, step, task, now_s):
                continue
            if (
                is_forced
                or session.find_stop(task, number)
                or self._get_room(session, now_s).take(step)
            ):
                self._state.stop_run(session, task, number, now_s)
            else:
                pool = session.worker.pool
                millicores = step.spec.reserved_size.millicores
                self.without_room[pool] += millicores

    def _can_empty(self, session: WorkerSession, now_s: float) -> bool:
        """Check whether the limits of all steps allow to stop all tasks."""
        runs = self._list_runs(session)
        steps = {step.key: step for _, _, step in runs}
        counts = Counter(step.key for _, _, step in runs)
        return all(
            counts[key] <= count_stoppable(self._state, step, now_s)
            for key, step in steps.items()
        )

    def _get_room(self, session: WorkerSession, now_s: float) -> SpareRoom:
        pool = session.worker.pool
        room = self._rooms.get(pool)
        if room is None:
            room = SpareRoom(self._state, pool, now_s)
            self._rooms[pool] = room
            self._reserve_for_stopping(pool, room)
        return room

    def _reserve_for_stopping(self, pool: str, room: SpareRoom) -> None:
        for session in self._state.sessions.values():
            if session.worker.pool != pool or not session.sent_stops:
                continue
            for task, number, step in self._list_runs(session):
                if session.find_stop(task, number):
                    room.take(step)

    def _list_runs(
        self, session: WorkerSession
    ) -> list[tuple[TaskKey, int, StepState]]:
        return [
            (task, number, step)
            for task, number, step in self._state.iterate_steps_on(
                session.worker.name
            )
            if step.spec.is_long_running
        ]
