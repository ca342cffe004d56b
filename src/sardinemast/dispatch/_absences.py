"""How long instances have been absent without a break."""

from typing import NamedTuple

from sardinemast.jobs import Worker

# Some lists may fail or come late; over a longer gap, nobody knows whether the
# instance was back meanwhile.
_LOOK_GAP_MAX_S = 3.5


class _Absence(NamedTuple):
    """Hold when an absence began, was last seen, and the last worker there."""

    since_s: float
    seen_s: float
    worker: tuple[str, int] | None


class Absences:
    """Measure how long each instance has been listed as absent.

    Only what was looked at without a gap counts as one absence, and a worker
    that is new on the instance ends it, even if no list showed it as present.
    """

    def __init__(self) -> None:
        self._absences: dict[str, _Absence] = {}

    def clear(self) -> None:
        """Discard all absences."""
        self._absences.clear()

    def record_present(self, instance: str) -> None:
        """Record that an instance was listed as present."""
        self._absences.pop(instance, None)

    def record_absent(
        self, instance: str, worker: Worker | None, now_s: float
    ) -> None:
        """Record that an instance was listed as down, or not at all."""
        since_s = now_s - self.get_duration_s(instance, worker, now_s)
        self._absences[instance] = _Absence(since_s, now_s, _identify(worker))

    def get_duration_s(
        self, instance: str, worker: Worker | None, now_s: float
    ) -> float:
        """Return how long an instance is known to be absent, 0 if it isn't."""
        known = self._absences.get(instance)
        if known is None or known.worker != _identify(worker):
            return 0
        if now_s > known.seen_s + _LOOK_GAP_MAX_S:
            return 0
        return now_s - known.since_s


def _identify(worker: Worker | None) -> tuple[str, int] | None:
    return None if worker is None else (worker.name, worker.boot_ms)
