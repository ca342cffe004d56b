"""Choice of upstream and retries, rule by rule."""

from random import Random

from builders import make_announcement, make_fleet
from sardinemast.admission import QueuedRequest
from sardinemast.fleet import AssignInstance, FleetState, apply_command
from sardinemast.membership import Announcement
from sardinemast.routing import (
    AttemptResult,
    AttemptTable,
    NextStep,
    StartAttempt,
)

_SLOTS = 2
_LATE_S = 100.0


class _Table:
    """Drive a table, with a request id for each attempt."""

    def __init__(self, *upstreams: Announcement) -> None:
        self.table = AttemptTable('rennes', Random(1))
        self.state: FleetState = make_fleet()
        self.last_id = 0
        self.upstreams = upstreams
        self.join(*upstreams)

    def join(self, *upstreams: Announcement, now_s: float = 0) -> None:
        for one in upstreams:
            command = AssignInstance('', one.instance, one.pool)
            apply_command(self.state, command, 9)
        self.upstreams = tuple(dict.fromkeys((*self.upstreams, *upstreams)))
        self.table.replace_roster(self.upstreams, now_s)

    def start(
        self,
        now_s: float,
        *,
        is_repeatable: bool = False,
    ) -> StartAttempt | None:
        self.last_id += 1
        request = QueuedRequest(
            self.last_id, 'petits-pixels', 'enrolment', 1e9, is_repeatable
        )
        return self.table.start(self.state, request, now_s)

    def fail(self, now_s: float, *, is_repeatable: bool = False) -> str:
        """Start and fail a request, and give where it was."""
        started = self.start(now_s, is_repeatable=is_repeatable)
        assert started is not None
        self.table.end(started.request_id, AttemptResult.failed, now_s)
        return started.upstream.instance

    def serve(self, now_s: float, taken_s: float = 0.01) -> str:
        """Start and answer a request, and give where it was."""
        started = self.start(now_s)
        assert started is not None
        ended_s = now_s + taken_s
        self.table.end(started.request_id, AttemptResult.answered, ended_s)
        return started.upstream.instance


def _make(
    name: str, rack: str = 'rack-1', site: str = 'rennes'
) -> Announcement:
    return make_announcement(name)._replace(rack=rack, data_centre=site)


def test_failing_upstream_is_set_aside() -> None:
    """Send nothing more to an upstream that fails what it gets.

    One of two upstreams answers every request with an error, and does so
    faster than the other one answers. Half of the callers would get errors.
    """
    table = _Table(_make('good'), _make('bad'))
    served = []
    for _ in range(40):
        started = table.start(0)
        assert started is not None
        name = started.upstream.instance
        served.append(name)
        outcome = (
            AttemptResult.failed if name == 'bad' else AttemptResult.answered
        )
        table.table.end(started.request_id, outcome, 0)
    assert 'bad' not in served[20:]
    assert 'good' in served


def _make_one_aside() -> _Table:
    table = _Table(_make('bad'))
    for _ in range(6):
        table.fail(0)
    table.join(_make('good'))
    return table


def test_recovered_upstream_is_probed_by_one_request() -> None:
    """One request at a time finds out whether an upstream has recovered."""
    table = _make_one_aside()
    started = [table.start(_LATE_S) for _ in range(3)]
    places = [one.upstream.instance for one in started if one]
    assert places == ['bad', 'good', 'good']


def test_probe_prefers_what_may_be_repeated() -> None:
    """A booking is the last to find out whether an upstream has recovered."""
    table = _make_one_aside()
    booking = table.start(1.5)
    roster = table.start(1.5, is_repeatable=True)
    assert booking is not None
    assert roster is not None
    assert booking.upstream.instance == 'good'
    assert roster.upstream.instance == 'bad'


def test_all_set_aside_are_still_tried() -> None:
    """A pool that failed as a whole is tried, and found to have recovered."""
    table = _Table(_make('one'), _make('two'))
    for _ in range(20):
        table.fail(0)
    assert table.serve(0.01)


def test_pool_that_fails_for_hours_is_still_tried() -> None:
    """Each failure makes the time aside longer, up to a bound.

    A pool is down over a weekend with callers trying all the time. The
    entry must not end by a number that grew too large.
    """
    table = _Table(_make('one'))
    for turn in range(2000):
        table.fail(turn)
    assert table.serve(1e5)


def test_slow_upstream_is_set_aside() -> None:
    """An upstream that takes many times as long as the others gets no work."""
    table = _Table(_make('one'), _make('two'), _make('slow'))
    places = []
    for turn in range(90):
        started = table.start(turn)
        assert started is not None
        name = started.upstream.instance
        places.append(name)
        taken_s = 0.9 if name == 'slow' else 0.01
        table.table.end(
            started.request_id, AttemptResult.answered, turn + taken_s
        )
    assert places[30:].count('slow') < 10


def test_joined_upstream_gets_little_at_first() -> None:
    """An upstream that has just started does not get all its slots at once."""
    table = _Table(_make('old'))
    table.join(_make('new'), now_s=50)
    assert _count_started(table, 50) == _SLOTS + 1
    assert _count_started(table, 70) == 1


def _count_started(table: _Table, now_s: float) -> int:
    return sum(table.start(now_s) is not None for _ in range(9))


def test_near_comes_first_and_far_when_full() -> None:
    """The other data centre gets only what does not fit here."""
    table = _Table(_make('far', 'rack-9', 'brest'), _make('near'))
    started = [table.start(0) for _ in range(4)]
    places = [one.upstream.instance for one in started if one]
    assert places == ['near', 'near', 'far', 'far']


def test_retry_goes_to_another_rack() -> None:
    """A request that failed in a rack is tried in another one.

    A rack loses its switch. A retry behind the same switch would fail too.
    """
    table = _Table(*(_make(f'a{number}') for number in range(6)))
    table.join(_make('b', 'rack-2'))
    while True:
        started = table.start(_LATE_S, is_repeatable=True)
        assert started is not None
        if started.upstream.instance != 'b':
            break
    outcome = table.table.end(started.request_id, AttemptResult.broken, _LATE_S)
    assert outcome.next_step is NextStep.retry
    again = table.table.start(table.state, outcome.request, _LATE_S + 1)
    assert again is not None
    assert again.upstream.instance == 'b'


def test_retry_waits() -> None:
    """A retry does not go out in the moment of the failure."""
    table = _Table(_make('one'))
    started = table.start(0)
    assert started is not None
    outcome = table.table.end(started.request_id, AttemptResult.not_sent, 0)
    assert table.table.start(table.state, outcome.request, 0) is None
    assert table.table.start(table.state, outcome.request, 1)


def test_wave_of_failures_is_not_multiplied() -> None:
    """Retries run out when everything fails.

    A data centre goes. Without a bound each request would be sent three
    times, and what is left would break down under it.
    """
    table = _Table(_make('one'), _make('two'))
    retries = 0
    for _ in range(100):
        started = table.start(0, is_repeatable=True)
        assert started is not None
        outcome = table.table.end(started.request_id, AttemptResult.broken, 0)
        retries += outcome.next_step is NextStep.retry
    assert retries == 10


def test_impatient_callers_set_nothing_aside() -> None:
    """Deadlines too short for any upstream say nothing about upstreams."""
    table = _Table(_make('one'), _make('two'))
    for _ in range(9):
        table.serve(0, taken_s=0.5)
    for _ in range(50):
        started = table.start(1)
        assert started is not None
        table.table.end(started.request_id, AttemptResult.timed_out, 1.1)
    assert _count_started(table, 2) == 2 * _SLOTS
