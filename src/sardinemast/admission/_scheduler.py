"""Scheduling of teams' requests at an entry."""

from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from http import HTTPStatus

from sardinemast.admission._fair_order import FairOrder
from sardinemast.admission._gate import Admission, Arrival
from sardinemast.admission._refusals import Refusal, refuse_not_run
from sardinemast.admission._request_queue import (
    QueuedRequest,
    QueueKey,
    RequestQueue,
)
from sardinemast.admission._service_times import ServiceTimes
from sardinemast.admission._usage import TeamUsage
from sardinemast.protocol import PoolAllotment, TeamDemand, TeamUse

_RETRY_AFTER_S = 1.0
_NO_DELAY_S = float('-inf')
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 30.0
_URGENT_LEAD_S = 2.0


class RequestScheduler:
    """Decide which queued request may start next."""

    def __init__(self) -> None:
        self._queue = RequestQueue()
        self._usage = TeamUsage()
        self._fair_order = FairOrder(self._usage)
        self._service_times = ServiceTimes()
        self._delayed: dict[int, tuple[float, QueuedRequest]] = {}

    def enqueue(
        self,
        arrival: Arrival,
        admitted: Admission,
        now_s: float,
    ) -> Refusal | None:
        """Queue an admitted request, or return a refusal."""
        request = QueuedRequest(
            arrival.request_id,
            admitted.team,
            arrival.pool,
            admitted.due_s,
            arrival.is_repeatable,
            arrival.is_urgent,
            self._get_start_by_s(arrival.pool, admitted.due_s, now_s),
        )
        lateness_s = self._estimate_lateness_s(request, now_s)
        if lateness_s > 0:
            return _refuse_infeasible(lateness_s)
        if self._enqueue(request, now_s):
            return None
        return refuse_not_run(
            'admission.E007',
            HTTPStatus.TOO_MANY_REQUESTS,
            'Too many requests of your team are queued.',
            _RETRY_AFTER_S,
        )

    def requeue(
        self,
        request: QueuedRequest,
        now_s: float,
        held_until_s: float | None = None,
        not_before_s: float = _NO_DELAY_S,
    ) -> Refusal | None:
        """Queue a request for another attempt, or return a refusal.

        With ``held_until_s``, the former attempt may still run and counts
        against the team's limit until then.
        """
        if held_until_s is not None:
            self._usage.hold_former_attempt(
                request.request_id,
                held_until_s,
                now_s,
            )
        self._usage.end(request.request_id, now_s)
        # The start time of the first attempt has passed; the remaining time
        # is for the next one.
        start_by_s = self._get_start_by_s(request.pool, request.due_s, now_s)
        request = request._replace(start_by_s=start_by_s)
        if now_s < not_before_s < request.due_s:
            # At the head of its queue it would block the requests behind it.
            self._delayed[request.request_id] = (not_before_s, request)
            return None
        if now_s < request.due_s and self._enqueue(request, now_s):
            return None
        return _refuse_expired()

    def cancel(self, request_id: int) -> None:
        """Remove a waiting request whose caller has disconnected."""
        self._queue.remove(request_id)
        self._delayed.pop(request_id, None)

    def get_ready(
        self,
        get_grant: Callable[[str], int],
        get_slots: Callable[[str], int],
        now_s: float,
    ) -> Iterator[QueuedRequest]:
        """Yield the requests that may start, in fair order of the teams.

        The caller must start a request before taking the next one; if it does
        not, no more requests of that pool are yielded.
        """
        eligible_keys = [
            queue_key
            for queue_key in self._queue.get_queue_keys()
            if self._usage.count(queue_key[1]) < get_grant(queue_key[1])
        ]
        pools = sorted({queue_key[0] for queue_key in eligible_keys})
        for pool in pools:
            queue_keys = [
                queue_key for queue_key in eligible_keys if queue_key[0] == pool
            ]
            free_slots = get_slots(pool) - self._usage.count_pool(pool)
            yield from self._get_ready_in_pool(
                queue_keys, free_slots, get_grant, now_s
            )

    def start(self, request: QueuedRequest, now_s: float) -> None:
        """Record that a request has started."""
        self._queue.remove(request.request_id)
        self._usage.start(request, now_s)
        self._fair_order.record_start(request.queue_key)

    def end(
        self,
        request: QueuedRequest,
        held_until_s: float | None,
        now_s: float,
    ) -> None:
        """Record the end of an attempt; hold its slot if it may still run."""
        if held_until_s is not None:
            service_time = self._service_times.get(request.pool, now_s)
            slot_until_s = (
                now_s + service_time.upper_bound_s
                if service_time
                else held_until_s
            )
            self._usage.hold(request.request_id, held_until_s, slot_until_s)
            return
        service_s = self._usage.end(request.request_id, now_s)
        if service_s is not None:
            self._service_times.record(request.pool, service_s, now_s)

    def expire(self, now_s: float) -> Iterator[tuple[int, Refusal]]:
        """Remove and yield the requests that can no longer start in time."""
        self._usage.release_expired(now_s)
        for request in self._pop_delayed(now_s):
            if not self._enqueue(request, now_s):
                yield request.request_id, _refuse_expired()
        for request in self._queue.pop_expired(now_s):
            yield request.request_id, _refuse_expired()

    def replace_allotments(self, pools: tuple[PoolAllotment, ...]) -> None:
        """Replace the teams' allotments by the leader's latest ones."""
        self._fair_order.replace_allotments(pools)

    def count_running(self, team: str) -> int:
        """Count a team's requests that run or may still run."""
        return self._usage.count(team)

    def count_demand(self, get_slots: Callable[[str], int]) -> Counter[str]:
        """Count by team the requests that run or could run in free slots.

        Requests beyond the slots are left out: their grants would be useless
        here but missing at other entries, and each move costs a commit.
        """
        demand = Counter(
            {team: self._usage.count(team) for team in self._usage.get_teams()}
        )
        for queue_key in self._queue.get_queue_keys():
            free_slots = get_slots(queue_key[0]) - self._usage.count_running(
                queue_key
            )
            demand[queue_key[1]] += min(
                self._queue.count_queued(queue_key),
                max(0, free_slots),
            )
        return demand

    def get_demands(
        self,
        get_slots: Callable[[str], int],
    ) -> tuple[TeamDemand, ...]:
        """Return the demand of each team at this entry."""
        return tuple(
            TeamDemand(team, demand, self._usage.count(team))
            for team, demand in sorted(self.count_demand(get_slots).items())
        )

    def get_usage(self, now_s: float) -> dict[str, tuple[TeamUse, ...]]:
        """Return by pool each team's queued, running and used service time."""
        uses: dict[str, tuple[TeamUse, ...]] = {}
        queue_keys = {
            *self._queue.get_queue_keys(),
            *self._usage.get_queue_keys(),
        }
        for pool, team in sorted(queue_keys):
            use = TeamUse(
                team,
                self._queue.count_queued((pool, team)),
                self._usage.count_running((pool, team)),
                self._usage.get_used_s((pool, team), now_s),
            )
            uses[pool] = (*uses.get(pool, ()), use)
        return uses

    def _pop_delayed(self, now_s: float) -> list[QueuedRequest]:
        due = [
            request
            for not_before_s, request in self._delayed.values()
            if not_before_s <= now_s
        ]
        for request in due:
            self._delayed.pop(request.request_id)
        return due

    def _enqueue(self, request: QueuedRequest, now_s: float) -> bool:
        if not self._queue.count_queued(request.queue_key):
            self._fair_order.activate(request.queue_key, now_s)
        return self._queue.add(request)

    def _get_ready_in_pool(
        self,
        queue_keys: list[QueueKey],
        free_slots: int,
        get_grant: Callable[[str], int],
        now_s: float,
    ) -> Iterator[QueuedRequest]:
        while queue_keys and free_slots > 0:
            queue_key = self._choose_queue(queue_keys, now_s)
            request = self._queue.get_first(queue_key)
            if request is None or (
                self._usage.count(request.team) >= get_grant(request.team)
            ):
                queue_keys.remove(queue_key)
                continue
            yield request
            if self._queue.get_first(queue_key) == request:
                return
            free_slots -= 1

    def _choose_queue(
        self, queue_keys: list[QueueKey], now_s: float
    ) -> QueueKey:
        if len(queue_keys) == 1:
            self._fair_order.rank(queue_keys[0], 0, now_s)
            return queue_keys[0]
        service_time = self._service_times.get(queue_keys[0][0], now_s)
        mean_s = service_time.mean_s if service_time else 0
        return min(queue_keys, key=partial(self._rank, mean_s, now_s))

    def _rank(self, mean_s: float, now_s: float, queue_key: QueueKey) -> float:
        rank_s = self._fair_order.rank(queue_key, mean_s, now_s)
        first = self._queue.get_first(queue_key)
        # Urgent work may exceed its team's allotment by this lead only; its
        # service time is still charged to the team.
        is_urgent = first is not None and first.is_urgent
        return rank_s - _URGENT_LEAD_S if is_urgent else rank_s

    def _estimate_lateness_s(
        self, request: QueuedRequest, now_s: float
    ) -> float:
        service_time = self._service_times.get(request.pool, now_s)
        if service_time is None:
            return 0
        ahead = self._queue.count_ahead(request)
        concurrency = max(
            self._usage.count_running(request.queue_key),
            self._fair_order.get_allotment(request.queue_key),
        )
        wait_s = ahead * service_time.mean_s / concurrency
        return now_s + wait_s - request.start_by_s

    def _get_start_by_s(self, pool: str, due_s: float, now_s: float) -> float:
        # A request that times out holds its grant for the longest permitted
        # run, and a few of them block a team with a small limit. So it must
        # start early enough for nearly all runs to end before the deadline.
        # A short deadline, or one without measurements, leaves half of its
        # time for waiting, or such requests would never run.
        service_time = self._service_times.get(pool, now_s)
        half_s = (due_s - now_s) / 2
        if service_time is None:
            return due_s - half_s
        return due_s - min(
            service_time.upper_bound_s, max(service_time.median_s, half_s)
        )


def _refuse_expired() -> Refusal:
    return refuse_not_run(
        'admission.E008',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'No slot or grant became free before the deadline.',
        _RETRY_AFTER_S,
    )


def _refuse_infeasible(lateness_s: float) -> Refusal:
    return refuse_not_run(
        'admission.E010',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'By recent service times, the deadline cannot be met.',
        min(max(lateness_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S),
    )
