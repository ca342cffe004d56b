"""Room that long-running tasks find on the workers of a pool."""

from sardinemast.dispatch._eligibility import count_by_worker, is_eligible
from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import Size, StepState, Worker

# Well below the 6 s for which a long-running task may be away.
_SOON_MS = 1500


class SpareRoom:
    """Track the room of a pool's usable workers beside long-running tasks.

    Tasks that end soon do not count: long-running ones get their capacity
    first. Those that already wait have taken their share.
    """

    def __init__(self, state: DispatchState, pool: str, now_s: float) -> None:
        self._workers = state.jobs.workers
        self._rooms = {
            session.worker.name: _measure_room(state, session.worker)
            for session in state.sessions.values()
            if session.worker.pool == pool and state.is_usable(session, now_s)
        }
        for step in state.jobs.ready.values():
            is_waiting = step.waiting and step.spec.is_long_running
            if is_waiting and state.jobs.get_queue(step).pool == pool:
                self._take_for_waiting(step)

    def take(self, step: StepState) -> bool:
        """Reserve room for one more task of a step, if there is any."""
        size = step.spec.reserved_size
        on_worker = count_by_worker(step)
        for name, room in self._rooms.items():
            if size.fits(room) and is_eligible(
                step, self._workers[name], on_worker
            ):
                self._rooms[name] = room.plus(size, -1)
                return True
        return False

    def _take_for_waiting(self, step: StepState) -> None:
        for _ in step.waiting:
            if not self.take(step):
                return


def _measure_room(state: DispatchState, worker: Worker) -> Size:
    room = worker.capacity
    for _, _, step in state.iterate_steps_on(worker.name):
        if step.spec.is_long_running or step.spec.estimate_ms > _SOON_MS:
            room = room.plus(step.spec.reserved_size, -1)
    return room
