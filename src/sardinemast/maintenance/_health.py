"""What instances say of themselves, as this leader has heard it."""

from typing import NamedTuple

from sardinemast.maintenance._events import InstanceReported
from sardinemast.maintenance._records import Condition, Instance


class Heard(NamedTuple):
    """Hold the newest word of an instance.

    ``steady_since_s`` is since when this incarnation was heard healthy
    without a gap.
    """

    incarnation: int
    pool: str
    heard_s: float
    steady_since_s: float
    is_healthy: bool = True


class HealthWatch:
    """Hold the newest word of each instance."""

    def __init__(self, gap_s: float) -> None:
        self._gap_s = gap_s
        self._heard: dict[str, Heard] = {}
        self._start_s: float = 0
        self.draining: set[str] = set()

    def start_term(self, now_s: float) -> None:
        """Forget all, and count silence from now."""
        self._heard.clear()
        self.draining.clear()
        self._start_s = now_s

    def take(self, report: InstanceReported, now_s: float) -> None:
        """Take a word; one of an older incarnation changes nothing."""
        known = self._heard.get(report.instance)
        if known is not None and known.incarnation > report.incarnation:
            return
        self._note_draining(report)
        if not report.is_healthy:
            # The incarnation is kept, or a late word of an older one would
            # make a sick instance look well.
            well_s = known.heard_s if known else self._start_s
            self._heard[report.instance] = Heard(
                report.incarnation,
                report.pool,
                well_s,
                now_s,
                is_healthy=False,
            )
            return
        is_steady = (
            known is not None
            and known.incarnation == report.incarnation
            and known.pool == report.pool
            and known.is_healthy
            and now_s - known.heard_s <= self._gap_s
        )
        since_s = known.steady_since_s if known and is_steady else now_s
        self._heard[report.instance] = Heard(
            report.incarnation,
            report.pool,
            now_s,
            since_s,
        )

    def is_well(self, instance: Instance, now_s: float) -> bool:
        """Tell whether an instance serves and says so."""
        if instance.condition is not Condition.serving:
            return False
        heard = self._heard.get(instance.name)
        return (
            heard is not None
            and heard.is_healthy
            and heard.incarnation == instance.incarnation
            and now_s - heard.heard_s <= self._gap_s
        )

    def get_fresh(self, instance: str, now_s: float) -> Heard | None:
        """Give the newest word unless it is too old."""
        heard = self._heard.get(instance)
        if heard is None or not heard.is_healthy:
            return None
        if now_s - heard.heard_s > self._gap_s:
            return None
        return heard

    def get_silence_s(self, instance: str, now_s: float) -> float:
        """Give how long the instance has been silent to this leader."""
        heard = self._heard.get(instance)
        last_s = heard.heard_s if heard else self._start_s
        return now_s - last_s

    def _note_draining(self, report: InstanceReported) -> None:
        if report.is_draining:
            self.draining.add(report.instance)
        else:
            self.draining.discard(report.instance)
