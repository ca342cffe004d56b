"""Detect instances that restart too often, and hold them back."""

WINDOW_S = 60.0
_MAX_STARTS = 3
_MIN_HOLD_S = 10.0
_MAX_HOLD_S = 60.0


class FlapCounter:
    """Count the starts of each instance within a sliding window.

    An instance that dies soon after each start would lose the requests that it
    got. While it is held back it is listed, but gets no requests.
    """

    def __init__(self) -> None:
        self._starts_s: dict[str, list[float]] = {}

    def record_start(self, instance: str, now_s: float) -> float:
        """Record a start; return until when the instance is held back.

        The time doubles with each start above the limit. Without a hold, the
        result is ``now_s``.
        """
        starts_s = [
            start_s
            for start_s in self._starts_s.get(instance, [])
            if start_s > now_s - WINDOW_S
        ]
        starts_s.append(now_s)
        self._starts_s[instance] = starts_s
        excess = len(starts_s) - _MAX_STARTS
        if excess <= 0:
            return now_s
        hold_s = _MIN_HOLD_S * (1 << (excess - 1))
        return now_s + min(hold_s, _MAX_HOLD_S)

    def discard_expired(self, now_s: float) -> None:
        """Discard instances without a start within the window."""
        self._starts_s = {
            name: starts_s
            for name, starts_s in self._starts_s.items()
            if starts_s[-1] > now_s - WINDOW_S
        }
