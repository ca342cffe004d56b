"""Requests that wait for a grant and a slot."""

import heapq
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

MAX_WAITING_PER_TEAM = 256
_MIN_COMPACTED = 64

Line = tuple[str, str]


class QueuedRequest(NamedTuple):
    """Hold a request that has not left yet.

    Once ``start_by_s`` has passed it would hardly end before its deadline.
    """

    request_id: int
    team: str
    pool: str
    due_s: float
    is_repeatable: bool
    is_urgent: bool = False
    start_by_s: float = float('inf')

    @property
    def line(self) -> Line:
        """Give the pool and the team, whose requests stand in one line."""
        return (self.pool, self.team)


class _Ranked(NamedTuple):
    is_usual: bool
    due_s: float
    request_id: int


class RequestQueue:
    """Hold a line for each pool and team: urgent first, then by deadline.

    A line is a sorted list: its bound keeps it short, its order tells at once
    how many stand ahead, and a leaving caller is found by bisection.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, QueuedRequest] = {}
        self._lines: dict[Line, list[_Ranked]] = {}
        self._due: list[tuple[float, int]] = []
        self._team_counts: Counter[str] = Counter()

    def add(self, request: QueuedRequest) -> bool:
        """Add a request, or tell that the team's queue is full."""
        if self._team_counts[request.team] >= MAX_WAITING_PER_TEAM:
            return False
        self._waiting[request.request_id] = request
        insort(self._lines.setdefault(request.line, []), _rank(request))
        start_by_s = _get_last_start_s(request)
        heapq.heappush(self._due, (start_by_s, request.request_id))
        self._team_counts[request.team] += 1
        return True

    def remove(self, request_id: int) -> QueuedRequest | None:
        """Take a request out, where it still waits."""
        request = self._waiting.pop(request_id, None)
        if request is None:
            return None
        ranks = self._lines[request.line]
        del ranks[bisect_left(ranks, _rank(request))]
        if not ranks:
            del self._lines[request.line]
        self._team_counts[request.team] -= 1
        self._compact()
        return request

    def count(self, team: str) -> int:
        """Count what waits for a team."""
        return self._team_counts[team]

    def count_line(self, line: Line) -> int:
        """Count what waits in a line."""
        return len(self._lines.get(line, ()))

    def count_ahead(self, request: QueuedRequest) -> int:
        """Count what stands, or would stand, ahead of a request."""
        return bisect_left(self._lines.get(request.line, []), _rank(request))

    def get_lines(self) -> list[Line]:
        """Give the lines that hold something."""
        return list(self._lines)

    def get_first(self, line: Line) -> QueuedRequest | None:
        """Give the request at the front of a line."""
        ranks = self._lines.get(line)
        return self._waiting[ranks[0].request_id] if ranks else None

    def take_due(self, until_s: float) -> Iterator[QueuedRequest]:
        """Take out the requests that are too late to start at a moment."""
        while self._due and self._due[0][0] <= until_s:
            noted_s, request_id = heapq.heappop(self._due)
            request = self._waiting.get(request_id)
            # A request that came back for a second attempt has a later moment
            # of its own; by the first one it would be refused too soon.
            if request is not None and _get_last_start_s(request) <= noted_s:
                self.remove(request_id)
                yield request

    def _compact(self) -> None:
        # A removed request stays in the heap of deadlines until that moment,
        # so a wave of leaving callers with long deadlines would fill memory.
        if len(self._due) > _MIN_COMPACTED + 2 * len(self._waiting):
            self._due = [one for one in self._due if one[1] in self._waiting]
            heapq.heapify(self._due)


def _rank(request: QueuedRequest) -> _Ranked:
    return _Ranked(not request.is_urgent, request.due_s, request.request_id)


def _get_last_start_s(request: QueuedRequest) -> float:
    return min(request.start_by_s, request.due_s)
