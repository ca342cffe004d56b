"""When orders for instances were last put into the log.

Nothing checks fences for instances, so that only time keeps the orders of two
leaders apart. A leader sends no order that is not in the log; an instance
that the log has not named for some time has had none, and a new leader may
order it at once. Otherwise a pool that lacks room after each change of leader
would wait 3.8 s for it.
"""


class OrderTimes:
    """Hold, by this process's clock, when each instance was last named.

    An entry is applied here after it was at the leader that sends the order,
    so that these times are late rather than early.
    """

    def __init__(self) -> None:
        self._named_s: dict[str, float] = {}
        self._blind_s: float | None = None

    def note(self, instance: str, now_s: float) -> None:
        """Note that an order for an instance stands in the log."""
        self._named_s[instance] = now_s

    def reset_order_times(self, now_s: float) -> None:
        """Note that entries up to now were not seen one by one.

        They came as a snapshot, and any instance may have been named there.
        """
        self._blind_s = now_s

    def get_last_s(self, instance: str) -> float:
        """Give until when an order of an earlier leader may have been sent."""
        if self._blind_s is None:
            return float('inf')
        named_s = self._named_s.get(instance, float('-inf'))
        return max(named_s, self._blind_s)
