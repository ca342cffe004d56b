"""Track when orders for instances were last recorded in the log.

Instances do not check fencing tokens, so only time separates the orders of
two leaders. Orders are recorded before they are sent. A new leader may
therefore order an instance at once if no recent entry names it.
"""

from sardinemast.dispatch._start_times import StartTimes


class OrderTimes:
    """Hold when the last order for each instance was applied here.

    Replicas apply an entry no earlier than the leader that sends the order,
    so these times err on the late side. ``starts`` holds those of runs.
    """

    def __init__(self) -> None:
        self.starts = StartTimes()
        self._ordered_s: dict[str, float] = {}
        self._unknown_until_s: float | None = None

    def record(self, instance: str, now_s: float) -> None:
        """Record that an order for an instance was applied."""
        self._ordered_s[instance] = now_s

    def mark_unknown_until(self, now_s: float) -> None:
        """Treat any instance as possibly ordered until now.

        A snapshot does not show when its entries were applied.
        """
        self._unknown_until_s = now_s
        self.starts.mark_unknown_until(now_s)

    def get_last_order_s(self, instance: str) -> float:
        """Return the latest time at which an order may have been recorded."""
        if self._unknown_until_s is None:
            return float('inf')
        ordered_s = self._ordered_s.get(instance, float('-inf'))
        return max(ordered_s, self._unknown_until_s)
