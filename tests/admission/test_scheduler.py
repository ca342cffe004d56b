"""Queueing, refusing and starting of requests at an entry."""

from sardinemast.admission import (
    Admission,
    Arrival,
    QueuedRequest,
    RequestScheduler,
)
from sardinemast.protocol import PoolAllotment, TeamAllotment

_DEADLINE_S = 100


def test_urgent_goes_first_and_then_the_earliest_deadline() -> None:
    """Within a team, urgent requests precede earlier deadlines."""
    scheduler = RequestScheduler()
    _take(scheduler, 1, due_s=50)
    _take(scheduler, 2, due_s=40)
    _take(scheduler, 3, due_s=90, is_urgent=True)
    assert _start_all(scheduler, slots=3) == [3, 2, 1]


def test_slots_follow_the_allotments_of_teams() -> None:
    """A team with three times the allotment gets three times the slots."""
    scheduler = RequestScheduler()
    parts = (TeamAllotment('large', 6), TeamAllotment('small', 2))
    scheduler.replace_allotments((PoolAllotment('pool', 8, parts),))
    for number in range(4):
        _take(scheduler, number, team='other')
        scheduler.end(_start(scheduler, slots=1), None, number + 1)
    for number in range(20, 40):
        _take(scheduler, number, team='large' if number % 2 else 'small')
    started = _start_all(scheduler, slots=8, now_s=5)
    assert sum(number % 2 for number in started) == 6


def test_infeasible_request_is_refused_at_once() -> None:
    """A request that cannot meet its deadline is refused with a retry time.

    Guards against a queue that never empties in a peak because callers time
    out and resend.
    """
    scheduler = RequestScheduler()
    for number in range(3):
        _take(scheduler, number)
        scheduler.end(_start(scheduler, slots=1), None, number + 1)
    refusals = [
        scheduler.enqueue(
            Arrival(number, 'pool', b'', False, None, 1),
            Admission('team', 3 + 5),
            3,
        )
        for number in range(10, 30)
    ]
    assert refusals[0] is None
    assert refusals[-1] is not None
    assert refusals[-1].code == 'admission.E010'
    assert refusals[-1].retry_after_s is not None


def test_canceled_requests_leave_nothing() -> None:
    """Disconnected callers leave no queued requests and no demand."""
    scheduler = RequestScheduler()
    for number in range(200):
        _take(scheduler, number)
    for number in range(200):
        scheduler.cancel(number)
    assert scheduler.get_demands(lambda _: 8) == ()
    assert not list(scheduler.expire(_DEADLINE_S))


def test_retry_gets_a_new_latest_start_time() -> None:
    """A retry gets a new latest start time.

    Guards against refusing a retry by the latest start time of the first
    attempt although an upstream is free.
    """
    scheduler = RequestScheduler()
    _take(scheduler, 1, due_s=4)
    request = _start(scheduler, slots=1)
    assert scheduler.requeue(request, 1.9) is None
    assert not list(scheduler.expire(2.1))
    assert _start_all(scheduler, slots=1, now_s=2.1) == [1]


def test_request_that_backs_off_blocks_nobody() -> None:
    """Other requests of a team start while a retry backs off.

    Guards against a retry that blocks its team's queue during the back-off.
    """
    scheduler = RequestScheduler()
    _take(scheduler, 1)
    request = _start(scheduler, slots=2)
    assert scheduler.requeue(request, 0, None, 0.5) is None
    _take(scheduler, 2)
    assert _start_all(scheduler, slots=2) == [2]
    assert not list(scheduler.expire(0.5))
    assert _start_all(scheduler, slots=2, now_s=0.5) == [1]


def _take(
    scheduler: RequestScheduler,
    request_id: int,
    team: str = 'team',
    due_s: float = _DEADLINE_S,
    *,
    is_urgent: bool = False,
) -> None:
    arrival = Arrival(request_id, 'pool', b'', False, None, 1, is_urgent)
    assert scheduler.enqueue(arrival, Admission(team, due_s), 0) is None


def _start(
    scheduler: RequestScheduler, slots: int, now_s: float = 0
) -> QueuedRequest:
    ready = scheduler.get_ready(lambda _: 99, lambda _: slots, now_s)
    request = next(ready)
    scheduler.start(request, now_s)
    return request


def _start_all(
    scheduler: RequestScheduler, slots: int, now_s: float = 0
) -> list[int]:
    started: list[int] = []
    ready = scheduler.get_ready(lambda _: 99, lambda _: slots, now_s)
    for request in ready:
        scheduler.start(request, now_s)
        started.append(request.request_id)
    return started
