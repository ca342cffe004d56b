"""Running requests and used service time of teams at this entry."""

import heapq
from collections import Counter
from itertools import count
from typing import NamedTuple

from sardinemast.admission._request_queue import QueuedRequest, QueueKey


class _Run(NamedTuple):
    queue_key: QueueKey
    started_s: float


class TeamUsage:
    """Count running requests and service time by team and pool.

    A request counts as running until its end at the upstream is known. After
    a timeout the upstream may still run it, so it counts against the team's
    limit for the longest permitted run. Its slot is released earlier, when
    nearly any run has ended: exceeding a pool's slots breaks no guarantee,
    while a few timeouts could otherwise block the pool.
    """

    def __init__(self) -> None:
        # Negative, so that they differ from the ids of requests.
        self._former_attempt_ids = count(-1, -1)
        self._running: dict[int, _Run] = {}
        self._held: list[tuple[float, int]] = []
        self._held_slots: list[tuple[float, int]] = []
        self._slot_holders: set[int] = set()
        self._team_counts: Counter[str] = Counter()
        self._pool_counts: Counter[str] = Counter()
        self._running_by_queue: Counter[QueueKey] = Counter()
        self._used_s: dict[QueueKey, float] = {}
        self._accrued_until_s: dict[QueueKey, float] = {}

    def start(self, request: QueuedRequest, now_s: float) -> None:
        """Record that a request has started."""
        self._accrue_use(request.queue_key, now_s)
        self._running[request.request_id] = _Run(request.queue_key, now_s)
        self._team_counts[request.team] += 1
        self._slot_holders.add(request.request_id)
        self._adjust_counts(request.queue_key, 1)

    def end(self, request_id: int, now_s: float) -> float | None:
        """Record the end of a request and return its service time."""
        run = self._running.pop(request_id, None)
        if run is None:
            return None
        self._free_slot(request_id, run.queue_key, now_s)
        self._team_counts[run.queue_key[1]] -= 1
        return now_s - run.started_s

    def hold(
        self,
        request_id: int,
        until_s: float,
        slot_until_s: float,
    ) -> None:
        """Keep counting a request whose end is not known."""
        if request_id in self._running:
            heapq.heappush(self._held, (until_s, request_id))
            heapq.heappush(self._held_slots, (slot_until_s, request_id))

    def hold_former_attempt(
        self,
        request_id: int,
        until_s: float,
        now_s: float,
    ) -> None:
        """Count a former attempt of a request separately until a time.

        It may still run at one upstream while the next attempt runs at
        another; counted once, the team could exceed its limit.
        """
        run = self._running.get(request_id)
        if run is not None:
            self._accrue_use(run.queue_key, now_s)
            attempt_id = next(self._former_attempt_ids)
            self._running[attempt_id] = run
            self._adjust_counts(run.queue_key, 1)
            heapq.heappush(self._held, (until_s, attempt_id))

    def release_expired(self, now_s: float) -> None:
        """Release slots and counts of held requests that have surely ended."""
        while self._held_slots and self._held_slots[0][0] <= now_s:
            _, request_id = heapq.heappop(self._held_slots)
            run = self._running.get(request_id)
            if run is not None:
                self._free_slot(request_id, run.queue_key, now_s)
        while self._held and self._held[0][0] <= now_s:
            _, request_id = heapq.heappop(self._held)
            self.end(request_id, now_s)

    def count(self, team: str) -> int:
        """Count the running requests of a team."""
        return self._team_counts[team]

    def count_pool(self, pool: str) -> int:
        """Count the occupied slots of a pool."""
        return self._pool_counts[pool]

    def count_running(self, queue_key: QueueKey) -> int:
        """Count the slots that a team occupies in a pool."""
        return self._running_by_queue[queue_key]

    def get_used_s(self, queue_key: QueueKey, now_s: float) -> float:
        """Return the service time used so far, with running requests."""
        self._accrue_use(queue_key, now_s)
        return self._used_s[queue_key]

    def get_queue_keys(self) -> list[QueueKey]:
        """Return the pools and teams with occupied slots."""
        return [
            queue_key
            for queue_key, count in self._running_by_queue.items()
            if count
        ]

    def get_teams(self) -> set[str]:
        """Return the teams with running requests."""
        return {team for team, count in self._team_counts.items() if count}

    def _accrue_use(self, queue_key: QueueKey, now_s: float) -> None:
        elapsed_s = now_s - self._accrued_until_s.get(queue_key, now_s)
        self._accrued_until_s[queue_key] = now_s
        new_s = elapsed_s * self._running_by_queue[queue_key]
        self._used_s[queue_key] = self._used_s.get(queue_key, 0) + new_s

    def _free_slot(
        self, request_id: int, queue_key: QueueKey, now_s: float
    ) -> None:
        if request_id in self._slot_holders:
            self._slot_holders.remove(request_id)
            self._accrue_use(queue_key, now_s)
            self._adjust_counts(queue_key, -1)

    def _adjust_counts(self, queue_key: QueueKey, delta: int) -> None:
        self._pool_counts[queue_key[0]] += delta
        self._running_by_queue[queue_key] += delta
