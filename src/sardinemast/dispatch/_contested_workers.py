"""Workers whose instance or address another worker claims."""

from sardinemast.dispatch._events import WorkerPolled
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._run_leases import list_running
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import WorkerSession

_NEVER_S = float('-inf')
# Another writer that claims a worker's place repeats that for as long as it
# lives, and each time the worker gets no new runs until it has answered.
_CONTEST_AGAIN_S = 1.0


class ContestedWorkers:
    """Find out which of the contested workers are still there.

    A worker that answers a poll is. One that is silent is gone if it has no
    runs, or if its lease has ended.
    """

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._contested_at_s: dict[str, float] = {}

    def start_term(self) -> None:
        """Discard the claims of the previous term."""
        self._contested_at_s.clear()

    def drop(self, name: str) -> None:
        """Discard the claims to the place of a worker that is gone."""
        self._contested_at_s.pop(name, None)

    def contest(self, session: WorkerSession, now_s: float) -> bool:
        """Record a claim; return whether to poll the worker at once."""
        name = session.worker.name
        last_s = self._contested_at_s.get(name, _NEVER_S)
        if session.contested_s is not None or now_s < last_s + _CONTEST_AGAIN_S:
            return False
        self._contested_at_s[name] = now_s
        self._state.log('worker.contested', name)
        session.contested_s = now_s
        if session.poll_state.is_pending:
            session.poll_state.replace_pending()
        session.poll_state.due_s = now_s
        return True

    def record_answer(self, session: WorkerSession) -> None:
        """Record that a worker is still there."""
        if session.contested_s is not None:
            session.contested_s = None
            self._state.needs_planning = True

    def is_gone(self, session: WorkerSession, now_s: float) -> bool:
        """Check whether a contested worker is gone for certain."""
        if session.contested_s is None or not session.poll_state.misses:
            return False
        return not list_running(self._state, session, now_s)


def is_silent(polled: WorkerPolled) -> bool:
    """Check whether a poll had no answer at all."""
    return polled.answer is None and polled.outcome in {
        OrderOutcome.unknown,
        OrderOutcome.not_sent,
    }
