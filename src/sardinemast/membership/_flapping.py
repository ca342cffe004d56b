"""Instances that come back too often, and are held back for a while."""

WINDOW_S = 60.0
_STARTS_ALLOWED = 3
_SHORTEST_HOLD_S = 10.0
_LONGEST_HOLD_S = 60.0


class FlapCounter:
    """Count how often an instance came (back) within the window.

    An instance that dies soon after each start would take work each time and
    lose it; held back, it is announced and seen but gets none.
    """

    def __init__(self) -> None:
        self._starts_s: dict[str, list[float]] = {}

    def note_start(self, instance: str, now_s: float) -> float:
        """Give until when to hold the instance back; the past for not."""
        starts_s = [
            one
            for one in self._starts_s.get(instance, [])
            if one > now_s - WINDOW_S
        ]
        starts_s.append(now_s)
        self._starts_s[instance] = starts_s
        excess = len(starts_s) - _STARTS_ALLOWED
        if excess <= 0:
            return now_s
        hold_s = _SHORTEST_HOLD_S * (1 << (excess - 1))
        return now_s + min(hold_s, _LONGEST_HOLD_S)

    def forget_old(self, now_s: float) -> None:
        """Drop instances that have not come back within the window."""
        self._starts_s = {
            name: starts_s
            for name, starts_s in self._starts_s.items()
            if starts_s[-1] > now_s - WINDOW_S
        }
