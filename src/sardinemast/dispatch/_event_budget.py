"""Bound on how often an event is logged."""


class EventBudget:
    """Bound the log lines of a second, and count those that are left out."""

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._omitted = 0
        self._second = 0
        self._count = 0

    def take(self, now_s: float) -> bool:
        """Count a line and return whether it may be written."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._count = 0
        self._count += 1
        is_left = self._count <= self._lines_per_s
        self._omitted += not is_left
        return is_left

    def pop_omitted(self) -> int:
        """Return how many lines were left out since the last call."""
        omitted = self._omitted
        self._omitted = 0
        return omitted
