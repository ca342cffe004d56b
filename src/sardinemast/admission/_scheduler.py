"""What waits and what runs for each team at this entry."""

from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from http import HTTPStatus

from sardinemast.admission._fair_order import FairOrder
from sardinemast.admission._gate import Admission, Arrival
from sardinemast.admission._refusals import Refusal, refuse_not_run
from sardinemast.admission._request_queue import (
    Line,
    QueuedRequest,
    RequestQueue,
)
from sardinemast.admission._service_times import ServiceTimes
from sardinemast.admission._usage import TeamUsage
from sardinemast.protocol import PoolAllotment, TeamDemand, TeamUse

_COME_BACK_S = 1.0
_NOW_S = float('-inf')
_MIN_COME_BACK_S = 0.1
_MAX_COME_BACK_S = 30.0
_URGENT_LEAD_S = 2.0


class RequestScheduler:
    """Decide which waiting request may start next."""

    def __init__(self) -> None:
        self._queue = RequestQueue()
        self._usage = TeamUsage()
        self._order = FairOrder(self._usage)
        self._times = ServiceTimes()
        self._delayed: dict[int, tuple[float, QueuedRequest]] = {}

    def enqueue(
        self,
        arrival: Arrival,
        admitted: Admission,
        now_s: float,
    ) -> Refusal | None:
        """Queue an admitted request, or refuse it at once."""
        request = QueuedRequest(
            arrival.request_id,
            admitted.team,
            arrival.pool,
            admitted.due_s,
            arrival.is_repeatable,
            arrival.is_urgent,
            self._get_start_by_s(arrival.pool, admitted.due_s, now_s),
        )
        late_s = self._estimate_lateness_s(request, now_s)
        if late_s > 0:
            return _describe_hopeless(late_s)
        if self._add(request, now_s):
            return None
        return refuse_not_run(
            'admission.E007',
            HTTPStatus.TOO_MANY_REQUESTS,
            'Too many requests of your team wait.',
            _COME_BACK_S,
        )

    def requeue(
        self,
        request: QueuedRequest,
        now_s: float,
        held_until_s: float | None = None,
        not_before_s: float = _NOW_S,
    ) -> Refusal | None:
        """Queue a request once more; what it left running keeps a place."""
        if held_until_s is not None:
            self._usage.leave_held(
                request.request_id,
                held_until_s,
                now_s,
            )
        self._usage.end(request.request_id, now_s)
        # The first attempt took the time that was left for it; what is left
        # now is for the second one.
        start_by_s = self._get_start_by_s(request.pool, request.due_s, now_s)
        request = request._replace(start_by_s=start_by_s)
        if now_s < not_before_s < request.due_s:
            # In the queue it would stand in the way of its whole line.
            self._delayed[request.request_id] = (not_before_s, request)
            return None
        if now_s < request.due_s and self._add(request, now_s):
            return None
        return _describe_late()

    def cancel(self, request_id: int) -> None:
        """Forget a request that waits and whose caller has left."""
        self._queue.remove(request_id)
        self._delayed.pop(request_id, None)

    def get_ready(
        self,
        get_usable: Callable[[str], int],
        get_slots: Callable[[str], int],
        now_s: float,
    ) -> Iterator[QueuedRequest]:
        """Give what may start by grants and slots, by the teams' shares.

        The caller starts a request, or leaves it, before asking for the next;
        after one that is left nothing more of its pool is given.
        """
        open_lines = [
            line
            for line in self._queue.get_lines()
            if self._usage.count(line[1]) < get_usable(line[1])
        ]
        pools = sorted({line[0] for line in open_lines})
        for pool in pools:
            lines = [line for line in open_lines if line[0] == pool]
            free_slots = get_slots(pool) - self._usage.count_pool(pool)
            yield from self._get_ready_of(lines, free_slots, get_usable, now_s)

    def start(self, request: QueuedRequest, now_s: float) -> None:
        """Count a request as running."""
        self._queue.remove(request.request_id)
        self._usage.start(request, now_s)
        self._order.note_start(request.line)

    def end(
        self,
        request: QueuedRequest,
        held_until_s: float | None,
        now_s: float,
    ) -> None:
        """Free the place of a request, or hold it while it may still run."""
        if held_until_s is not None:
            known = self._times.get(request.pool, now_s)
            slot_until_s = now_s + known.slow_s if known else held_until_s
            self._usage.hold(request.request_id, held_until_s, slot_until_s)
            return
        service_s = self._usage.end(request.request_id, now_s)
        if service_s is not None:
            self._times.note(request.pool, service_s, now_s)

    def expire(self, now_s: float) -> Iterator[tuple[int, Refusal]]:
        """Give the requests whose deadline has passed, and forget them."""
        self._usage.release_held(now_s)
        for request in self._take_delayed(now_s):
            if not self._add(request, now_s):
                yield request.request_id, _describe_late()
        for request in self._queue.take_due(now_s):
            yield request.request_id, _describe_late()

    def replace_allotments(self, pools: tuple[PoolAllotment, ...]) -> None:
        """Take the teams' fair parts that the leader computed."""
        self._order.replace_allotments(pools)

    def count_running(self, team: str) -> int:
        """Count what runs, or may still run, for a team."""
        return self._usage.count(team)

    def count_demand(self, get_slots: Callable[[str], int]) -> Counter[str]:
        """Count by team what runs and what could run in this entry's slots.

        What waits beyond the slots is left out: grants for it would be taken
        from entries that could use them, and each move is a commit.
        """
        wanted = Counter(
            {team: self._usage.count(team) for team in self._usage.get_teams()}
        )
        for line in self._queue.get_lines():
            free_slots = get_slots(line[0]) - self._usage.count_line(line)
            wanted[line[1]] += min(
                self._queue.count_line(line),
                max(0, free_slots),
            )
        return wanted

    def get_demands(
        self,
        get_slots: Callable[[str], int],
    ) -> tuple[TeamDemand, ...]:
        """Tell how much each team wants to run here."""
        return tuple(
            TeamDemand(team, wanted, self._usage.count(team))
            for team, wanted in sorted(self.count_demand(get_slots).items())
        )

    def get_usage(self, now_s: float) -> dict[str, tuple[TeamUse, ...]]:
        """Tell by pool what each team waits for, runs and has used."""
        uses: dict[str, tuple[TeamUse, ...]] = {}
        lines = {*self._queue.get_lines(), *self._usage.get_lines()}
        for pool, team in sorted(lines):
            use = TeamUse(
                team,
                self._queue.count_line((pool, team)),
                self._usage.count_line((pool, team)),
                self._usage.get_used_s((pool, team), now_s),
            )
            uses[pool] = (*uses.get(pool, ()), use)
        return uses

    def _take_delayed(self, now_s: float) -> list[QueuedRequest]:
        due = [
            request
            for not_before_s, request in self._delayed.values()
            if not_before_s <= now_s
        ]
        for request in due:
            self._delayed.pop(request.request_id)
        return due

    def _add(self, request: QueuedRequest, now_s: float) -> bool:
        if not self._queue.count_line(request.line):
            self._order.activate(request.line, now_s)
        return self._queue.add(request)

    def _get_ready_of(
        self,
        lines: list[Line],
        free_slots: int,
        get_usable: Callable[[str], int],
        now_s: float,
    ) -> Iterator[QueuedRequest]:
        while lines and free_slots > 0:
            line = self._choose(lines, now_s)
            request = self._queue.get_first(line)
            if request is None or (
                self._usage.count(request.team) >= get_usable(request.team)
            ):
                lines.remove(line)
                continue
            yield request
            if self._queue.get_first(line) == request:
                return
            free_slots -= 1

    def _choose(self, lines: list[Line], now_s: float) -> Line:
        if len(lines) == 1:
            self._order.rank(lines[0], 0, now_s)
            return lines[0]
        known = self._times.get(lines[0][0], now_s)
        mean_s = known.mean_s if known else 0
        return min(lines, key=partial(self._rank, mean_s, now_s))

    def _rank(self, mean_s: float, now_s: float, line: Line) -> float:
        rank_s = self._order.rank(line, mean_s, now_s)
        first = self._queue.get_first(line)
        # Urgent work may run ahead of its team's part by this much and no
        # more; its time is charged, so the share over a minute stays.
        is_urgent = first is not None and first.is_urgent
        return rank_s - _URGENT_LEAD_S if is_urgent else rank_s

    def _estimate_lateness_s(
        self, request: QueuedRequest, now_s: float
    ) -> float:
        known = self._times.get(request.pool, now_s)
        if known is None:
            return 0
        ahead = self._queue.count_ahead(request)
        parallel = max(
            self._usage.count_line(request.line),
            self._order.get_part(request.line),
        )
        wait_s = ahead * known.mean_s / parallel
        return now_s + wait_s - request.start_by_s

    def _get_start_by_s(self, pool: str, due_s: float, now_s: float) -> float:
        # A request that starts too late times out, and its place is held for
        # the longest permitted run since the upstream may go on. A few of
        # these stop a team with a small limit, so nearly all runs must fit.
        # A deadline that is short from the start gets its half, or else no
        # request with such a deadline would ever run; so does one of which
        # nothing has been measured.
        known = self._times.get(pool, now_s)
        half_s = (due_s - now_s) / 2
        if known is None:
            return due_s - half_s
        return due_s - min(known.slow_s, max(known.median_s, half_s))


def _describe_late() -> Refusal:
    return refuse_not_run(
        'admission.E008',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'No slot or no part of the limit came free before the deadline.',
        _COME_BACK_S,
    )


def _describe_hopeless(late_s: float) -> Refusal:
    return refuse_not_run(
        'admission.E010',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'By the measured service times this would end after its deadline.',
        min(max(late_s, _MIN_COME_BACK_S), _MAX_COME_BACK_S),
    )
