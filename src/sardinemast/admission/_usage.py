"""What each team has running through this entry."""

import heapq
from collections import Counter
from itertools import count
from typing import NamedTuple

from sardinemast.admission._request_queue import Line, QueuedRequest


class _Run(NamedTuple):
    line: Line
    started_s: float


class TeamUsage:
    """Count running requests by team and pool, and the time they used.

    A request counts as running until its end at the upstream is known. After
    a timeout the upstream may go on, so the place is held until the longest
    permitted run has passed; freeing it sooner would let the team pass its
    limit while nobody sees it. Its slot is given up earlier, when nearly any
    run has ended: to exceed a pool's slots breaks no promise, while slots
    held for the longest run let a few timeouts stop a pool.
    """

    def __init__(self) -> None:
        # Ids of requests count up from 1.
        self._former_ids = count(-1, -1)
        self._running: dict[int, _Run] = {}
        self._held: list[tuple[float, int]] = []
        self._held_slots: list[tuple[float, int]] = []
        self._slots: set[int] = set()
        self._team_counts: Counter[str] = Counter()
        self._pool_counts: Counter[str] = Counter()
        self._line_counts: Counter[Line] = Counter()
        self._used_s: dict[Line, float] = {}
        self._counted_s: dict[Line, float] = {}

    def start(self, request: QueuedRequest, now_s: float) -> None:
        """Count a request as running."""
        self._note_use(request.line, now_s)
        self._running[request.request_id] = _Run(request.line, now_s)
        self._team_counts[request.team] += 1
        self._slots.add(request.request_id)
        self._count(request.line, 1)

    def end(self, request_id: int, now_s: float) -> float | None:
        """Free the place of a request whose end is known, and give its time."""
        run = self._running.pop(request_id, None)
        if run is None:
            return None
        self._free_slot(request_id, run.line, now_s)
        self._team_counts[run.line[1]] -= 1
        return now_s - run.started_s

    def hold(
        self,
        request_id: int,
        until_s: float,
        slot_until_s: float,
    ) -> None:
        """Keep the place of a request whose end is not known."""
        if request_id in self._running:
            heapq.heappush(self._held, (until_s, request_id))
            heapq.heappush(self._held_slots, (slot_until_s, request_id))

    def leave_held(
        self,
        request_id: int,
        until_s: float,
        now_s: float,
    ) -> None:
        """Hold a second place, for a former attempt of a request.

        It may still run at one upstream while another one gets it; counted
        once, the team would pass its limit.
        """
        run = self._running.get(request_id)
        if run is not None:
            self._note_use(run.line, now_s)
            place = next(self._former_ids)
            self._running[place] = run
            self._count(run.line, 1)
            heapq.heappush(self._held, (until_s, place))

    def release_held(self, now_s: float) -> None:
        """Free the slots, and later the places, of what has surely ended."""
        while self._held_slots and self._held_slots[0][0] <= now_s:
            _, request_id = heapq.heappop(self._held_slots)
            run = self._running.get(request_id)
            if run is not None:
                self._free_slot(request_id, run.line, now_s)
        while self._held and self._held[0][0] <= now_s:
            _, request_id = heapq.heappop(self._held)
            self.end(request_id, now_s)

    def count(self, team: str) -> int:
        """Count what runs for a team."""
        return self._team_counts[team]

    def count_pool(self, pool: str) -> int:
        """Count what runs in a pool."""
        return self._pool_counts[pool]

    def count_line(self, line: Line) -> int:
        """Count what runs for a team in a pool."""
        return self._line_counts[line]

    def get_used_s(self, line: Line, now_s: float) -> float:
        """Give the service time used so far, also by what runs now."""
        self._note_use(line, now_s)
        return self._used_s[line]

    def get_lines(self) -> list[Line]:
        """Give the pools and teams that have something running."""
        return [line for line, count in self._line_counts.items() if count]

    def get_teams(self) -> set[str]:
        """Give the teams that have something running."""
        return {team for team, count in self._team_counts.items() if count}

    def _note_use(self, line: Line, now_s: float) -> None:
        since_s = now_s - self._counted_s.get(line, now_s)
        self._counted_s[line] = now_s
        fresh_s = since_s * self._line_counts[line]
        self._used_s[line] = self._used_s.get(line, 0) + fresh_s

    def _free_slot(self, request_id: int, line: Line, now_s: float) -> None:
        if request_id in self._slots:
            self._slots.remove(request_id)
            self._note_use(line, now_s)
            self._count(line, -1)

    def _count(self, line: Line, step: int) -> None:
        self._pool_counts[line[0]] += step
        self._line_counts[line] += step
