"""Requests that wait for a grant and a slot."""

from typing import NamedTuple

MAX_WAITING_PER_TEAM = 256


class Waiting(NamedTuple):
    """Hold a request that has not left yet."""

    request_id: int
    team: str
    pool: str
    due_s: float
    is_repeatable: bool


class WaitingQueue:
    """Hold waiting requests by pool and team, earliest deadline first."""

    def __init__(self) -> None:
        self._waiting: dict[int, Waiting] = {}

    def add(self, waiting: Waiting) -> bool:
        """Add a request, or tell that the team's queue is full."""
        if self.count(waiting.team) >= MAX_WAITING_PER_TEAM:
            return False
        self._waiting[waiting.request_id] = waiting
        return True

    def remove(self, request_id: int) -> Waiting | None:
        """Take a request out, where it still waits."""
        return self._waiting.pop(request_id, None)

    def count(self, team: str) -> int:
        """Count what waits for a team."""
        return sum(one.team == team for one in self._waiting.values())

    def get_ordered(self) -> tuple[Waiting, ...]:
        """Give all that waits, earliest deadline first."""
        return tuple(sorted(self._waiting.values(), key=lambda one: one.due_s))
