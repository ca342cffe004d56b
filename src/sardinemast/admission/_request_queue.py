"""Queue of requests that wait for a grant and a slot."""

import heapq
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

MAX_QUEUED_PER_TEAM = 256
_MIN_HEAP_ENTRIES_TO_COMPACT = 64

QueueKey = tuple[str, str]


class QueuedRequest(NamedTuple):
    """Hold an admitted request that is not under way.

    A request that starts after ``start_by_s`` is likely to miss its deadline.
    """

    request_id: int
    team: str
    pool: str
    due_s: float
    is_repeatable: bool
    is_urgent: bool = False
    start_by_s: float = float('inf')

    @property
    def queue_key(self) -> QueueKey:
        """Return the pool and team, whose requests share one queue."""
        return (self.pool, self.team)


class _SortKey(NamedTuple):
    is_normal: bool
    due_s: float
    request_id: int


class RequestQueue:
    """Hold a queue for each pool and team: urgent first, then by deadline.

    A queue is a sorted list, which its bound keeps short; positions are found
    by bisection.
    """

    def __init__(self) -> None:
        self._requests: dict[int, QueuedRequest] = {}
        self._queues: dict[QueueKey, list[_SortKey]] = {}
        self._expiry_heap: list[tuple[float, int]] = []
        self._team_counts: Counter[str] = Counter()

    def add(self, request: QueuedRequest) -> bool:
        """Add a request; return False if the team's limit is reached."""
        if self._team_counts[request.team] >= MAX_QUEUED_PER_TEAM:
            return False
        self._requests[request.request_id] = request
        insort(
            self._queues.setdefault(request.queue_key, []),
            _make_sort_key(request),
        )
        expiry_s = _get_expiry_s(request)
        heapq.heappush(self._expiry_heap, (expiry_s, request.request_id))
        self._team_counts[request.team] += 1
        return True

    def remove(self, request_id: int) -> QueuedRequest | None:
        """Remove and return a request, or None if it is not queued."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return None
        sort_keys = self._queues[request.queue_key]
        del sort_keys[bisect_left(sort_keys, _make_sort_key(request))]
        if not sort_keys:
            del self._queues[request.queue_key]
        self._team_counts[request.team] -= 1
        self._compact_heap()
        return request

    def count(self, team: str) -> int:
        """Count the queued requests of a team."""
        return self._team_counts[team]

    def count_queued(self, queue_key: QueueKey) -> int:
        """Count the requests in a queue."""
        return len(self._queues.get(queue_key, ()))

    def count_ahead(self, request: QueuedRequest) -> int:
        """Count the requests that precede, or would precede, a request."""
        return bisect_left(
            self._queues.get(request.queue_key, []), _make_sort_key(request)
        )

    def get_queue_keys(self) -> list[QueueKey]:
        """Return the keys of queues that are not empty."""
        return list(self._queues)

    def get_first(self, queue_key: QueueKey) -> QueuedRequest | None:
        """Return the first request of a queue, or None if it is empty."""
        sort_keys = self._queues.get(queue_key)
        return self._requests[sort_keys[0].request_id] if sort_keys else None

    def pop_expired(self, until_s: float) -> Iterator[QueuedRequest]:
        """Remove and yield the requests that are too late to start."""
        while self._expiry_heap and self._expiry_heap[0][0] <= until_s:
            expires_s, request_id = heapq.heappop(self._expiry_heap)
            request = self._requests.get(request_id)
            # A requeued request may have a later expiry than the heap entry
            # of its first attempt.
            if request is not None and _get_expiry_s(request) <= expires_s:
                self.remove(request_id)
                yield request

    def _compact_heap(self) -> None:
        # Entries of removed requests stay in the heap until they expire. This
        # bounds the memory when many callers with long deadlines disconnect.
        if len(self._expiry_heap) > _MIN_HEAP_ENTRIES_TO_COMPACT + 2 * len(
            self._requests
        ):
            self._expiry_heap = [
                one for one in self._expiry_heap if one[1] in self._requests
            ]
            heapq.heapify(self._expiry_heap)


def _make_sort_key(request: QueuedRequest) -> _SortKey:
    return _SortKey(not request.is_urgent, request.due_s, request.request_id)


def _get_expiry_s(request: QueuedRequest) -> float:
    return min(request.start_by_s, request.due_s)
