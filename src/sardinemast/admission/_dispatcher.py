"""What waits and what runs for each team at this entry."""

from collections.abc import Callable, Iterator
from http import HTTPStatus

from sardinemast.admission._gate import Admitted, Arrival
from sardinemast.admission._queue import Waiting, WaitingQueue
from sardinemast.admission._refusals import Refusal, refuse_not_run
from sardinemast.admission._usage import TeamUsage
from sardinemast.protocol import TeamDemand

_COME_BACK_S = 1.0


class Dispatcher:
    """Decide which waiting request may start next."""

    def __init__(self) -> None:
        self._queue = WaitingQueue()
        self._usage = TeamUsage()

    def take(
        self,
        arrival: Arrival,
        admitted: Admitted,
        now_s: float,
    ) -> Refusal | None:
        """Queue an admitted request, or refuse it at once."""
        waiting = Waiting(
            arrival.request_id,
            admitted.team,
            arrival.pool,
            admitted.due_s,
            arrival.is_repeatable,
        )
        if self._queue.add(waiting):
            return None
        return refuse_not_run(
            'admission.E007',
            HTTPStatus.TOO_MANY_REQUESTS,
            'Too many requests of your team wait.',
            _COME_BACK_S,
        )

    def take_again(
        self,
        waiting: Waiting,
        now_s: float,
        held_until_s: float | None = None,
    ) -> Refusal | None:
        """Queue a request once more; what it left running keeps a place."""
        if held_until_s is not None:
            self._usage.leave_held(waiting.request_id, held_until_s)
        self._usage.end(waiting.request_id)
        if now_s < waiting.due_s and self._queue.add(waiting):
            return None
        return _describe_late()

    def drop(self, request_id: int) -> None:
        """Forget a request that waits and whose caller has left."""
        self._queue.remove(request_id)

    def get_ready(
        self,
        get_amount: Callable[[str], int],
        now_s: float,
    ) -> Iterator[Waiting]:
        """Give what may start by the grants, the most urgent first.

        The caller starts a request, or leaves it, before asking for the next.
        """
        for waiting in self._queue.get_ordered():
            if self._usage.count(waiting.team) < get_amount(waiting.team):
                yield waiting

    def start(self, waiting: Waiting) -> None:
        """Count a request as running."""
        self._queue.remove(waiting.request_id)
        self._usage.start(waiting.request_id, waiting.team)

    def end(self, request_id: int, held_until_s: float | None) -> None:
        """Free the place of a request, or hold it while it may still run."""
        if held_until_s is None:
            self._usage.end(request_id)
        else:
            self._usage.hold(request_id, held_until_s)

    def expire(self, now_s: float) -> Iterator[tuple[int, Refusal]]:
        """Give the requests whose deadline has passed, and forget them."""
        self._usage.release_held(now_s)
        for waiting in self._queue.get_ordered():
            if waiting.due_s > now_s:
                return
            self._queue.remove(waiting.request_id)
            yield waiting.request_id, _describe_late()

    def get_demands(self) -> tuple[TeamDemand, ...]:
        """Tell how much each team wants to run here."""
        waiting_teams = {one.team for one in self._queue.get_ordered()}
        return tuple(
            TeamDemand(
                team,
                self._usage.count(team) + self._queue.count(team),
                self._usage.count(team),
            )
            for team in sorted(waiting_teams | self._usage.get_teams())
        )


def _describe_late() -> Refusal:
    return refuse_not_run(
        'admission.E008',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'No slot or no part of the limit came free before the deadline.',
        _COME_BACK_S,
    )
