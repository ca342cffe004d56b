"""Selection of upstreams, ejection and retries."""

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
    """Drive an attempt table, with a new request id for each request."""

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
        """Start and fail a request, and return its instance."""
        started = self.start(now_s, is_repeatable=is_repeatable)
        assert started is not None
        self.table.end(started.request_id, AttemptResult.failed, now_s)
        return started.upstream.instance

    def serve(self, now_s: float, taken_s: float = 0.01) -> str:
        """Start and answer a request, and return its instance."""
        started = self.start(now_s)
        assert started is not None
        ended_s = now_s + taken_s
        self.table.end(started.request_id, AttemptResult.answered, ended_s)
        return started.upstream.instance


def _make(
    name: str, rack: str = 'rack-1', site: str = 'rennes'
) -> Announcement:
    return make_announcement(name)._replace(rack=rack, data_centre=site)


def test_failing_upstream_is_ejected() -> None:
    """An upstream that fails every request gets no more of them.

    Guards against sending half of the requests to an upstream that answers
    with errors.
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


def _make_one_ejected() -> _Table:
    table = _Table(_make('bad'))
    for _ in range(6):
        table.fail(0)
    table.join(_make('good'))
    return table


def test_recovered_upstream_is_probed_by_one_request() -> None:
    """Only one request at a time probes an ejected upstream."""
    table = _make_one_ejected()
    started = [table.start(_LATE_S) for _ in range(3)]
    places = [one.upstream.instance for one in started if one]
    assert places == ['bad', 'good', 'good']


def test_repeatable_requests_probe_first() -> None:
    """Repeatable requests probe an ejected upstream first."""
    table = _make_one_ejected()
    booking = table.start(1.5)
    roster = table.start(1.5, is_repeatable=True)
    assert booking is not None
    assert roster is not None
    assert booking.upstream.instance == 'good'
    assert roster.upstream.instance == 'bad'


def test_pool_of_ejected_upstreams_is_still_used() -> None:
    """A pool whose upstreams are all ejected is still used."""
    table = _Table(_make('one'), _make('two'))
    for _ in range(20):
        table.fail(0)
    assert table.serve(0.01)


def test_pool_that_fails_for_hours_is_still_tried() -> None:
    """The ejection time grows up to a bound.

    Guards against a float overflow in a pool that fails for hours.
    """
    table = _Table(_make('one'))
    for turn in range(2000):
        table.fail(turn)
    assert table.serve(1e5)


def test_slow_upstream_is_ejected() -> None:
    """An upstream much slower than the others gets hardly any requests."""
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


def test_joined_upstream_warms_up() -> None:
    """An upstream that has just joined does not use all its slots at once."""
    table = _Table(_make('old'))
    table.join(_make('new'), now_s=50)
    assert _count_started(table, 50) == _SLOTS + 1
    assert _count_started(table, 70) == 1


def _count_started(table: _Table, now_s: float) -> int:
    return sum(table.start(now_s) is not None for _ in range(9))


def test_local_data_centre_is_preferred() -> None:
    """The other data centre gets only requests beyond the local slots."""
    table = _Table(_make('far', 'rack-9', 'brest'), _make('near'))
    started = [table.start(0) for _ in range(4)]
    places = [one.upstream.instance for one in started if one]
    assert places == ['near', 'near', 'far', 'far']


def test_retry_goes_to_another_rack() -> None:
    """A request that failed in a rack is retried in another one.

    Guards against a retry that fails with the same rack.
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


def test_retry_backs_off() -> None:
    """A retry starts only after its back-off."""
    table = _Table(_make('one'))
    started = table.start(0)
    assert started is not None
    outcome = table.table.end(started.request_id, AttemptResult.not_sent, 0)
    assert table.table.start(table.state, outcome.request, 0) is None
    assert table.table.start(table.state, outcome.request, 1)


def test_retries_are_limited_when_everything_fails() -> None:
    """The retry budget runs out when everything fails.

    Guards against retries that multiply the load when a data centre is lost.
    """
    table = _Table(_make('one'), _make('two'))
    retries = 0
    for _ in range(100):
        started = table.start(0, is_repeatable=True)
        assert started is not None
        outcome = table.table.end(started.request_id, AttemptResult.broken, 0)
        retries += outcome.next_step is NextStep.retry
    assert retries == 10


def test_short_deadlines_eject_no_upstream() -> None:
    """Timeouts of very short deadlines don't eject upstreams."""
    table = _Table(_make('one'), _make('two'))
    for _ in range(9):
        table.serve(0, taken_s=0.5)
    for _ in range(50):
        started = table.start(1)
        assert started is not None
        table.table.end(started.request_id, AttemptResult.timed_out, 1.1)
    assert _count_started(table, 2) == 2 * _SLOTS
