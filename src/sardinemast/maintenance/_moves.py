"""Moves between pools as their peaks come in turns."""

import math
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from sardinemast.maintenance._events import PoolDemand
from sardinemast.maintenance._records import Condition, Instance, StepKind
from sardinemast.maintenance._state import MaintenanceState
from sardinemast.maintenance.commands import StepStart

_STEEPEST = 1.25


class MoveSettings(NamedTuple):
    """Bound moves.

    A pool gives an instance only after it had more than ``surplus_factor``
    of its forecast for ``hold_s``, and an instance stays for ``dwell_s``
    where it came to. ``horizon_s`` is how long a move takes. At once move
    ``at_once`` or this share of all instances, whichever is more.
    """

    horizon_s: float = 60
    level_s: float = 10
    trend_s: float = 30
    margin: float = 0.15
    surplus_factor: float = 1.4
    hold_s: float = 60
    dwell_s: float = 180
    at_once: int = 8
    at_once_share: float = 0.1


class Forecast(NamedTuple):
    """Hold a pool's demand in instances, smoothed, with its trend."""

    level: float
    trend_per_s: float
    updated_s: float
    peak: float = 0


class MovePlanner:
    """Choose moves from forecasts, with hysteresis."""

    def __init__(self, settings: MoveSettings | None = None) -> None:
        self._settings = settings or MoveSettings()
        self._forecasts: dict[str, Forecast] = {}
        self._surplus_since_s: dict[str, float] = {}
        self._places: dict[str, tuple[str, float]] = {}

    def clear(self) -> None:
        """Forget all; a new leader learns anew before it moves anything."""
        self._forecasts.clear()
        self._surplus_since_s.clear()
        self._places.clear()

    def take(self, demands: Iterable[PoolDemand], now_s: float) -> None:
        """Take what pools need now."""
        for demand in demands:
            known = self._forecasts.get(demand.pool)
            self._forecasts[demand.pool] = self._update(known, demand, now_s)

    def get_need(self, pool: str) -> float:
        """Give how many instances the pool will need when a move is over."""
        known = self._forecasts.get(pool)
        if known is None:
            return 0
        ahead = max(0, known.trend_per_s) * self._settings.horizon_s
        # A steep start would be drawn on without end, and the pool would get
        # twice what it asks for. The highest level so far bounds it.
        bound = max(known.level * _STEEPEST, known.peak)
        return min(known.level + ahead, bound) * (1 + self._settings.margin)

    def choose(
        self,
        state: MaintenanceState,
        now_s: float,
    ) -> tuple[StepStart, ...]:
        """Choose what starts to move now."""
        if not self._forecasts:
            return ()
        moving = [
            one
            for one in state.get_stepping()
            if one.step is not None and one.step.kind is StepKind.move
        ]
        share = self._settings.at_once_share * len(state.instances)
        room = max(self._settings.at_once, int(share)) - len(moving)
        have = self._count(state, now_s)
        self._watch_surplus(have, now_s)
        with state.ledger.trial():
            starts: list[StepStart] = []
            for start in self._iterate(state, have, now_s):
                if len(starts) >= room:
                    break
                starts.append(start)
            return tuple(starts)

    def _update(
        self,
        known: Forecast | None,
        demand: PoolDemand,
        now_s: float,
    ) -> Forecast:
        if known is None:
            return Forecast(demand.instances, 0, now_s, demand.instances)
        passed_s = now_s - known.updated_s
        if passed_s <= 0:
            return known
        weight = 1 - math.exp(-passed_s / self._settings.level_s)
        level = known.level + weight * (demand.instances - known.level)
        slope = (level - known.level) / passed_s
        weight = 1 - math.exp(-passed_s / self._settings.trend_s)
        trend = known.trend_per_s + weight * (slope - known.trend_per_s)
        return Forecast(level, trend, now_s, max(known.peak, level))

    def _count(
        self,
        state: MaintenanceState,
        now_s: float,
    ) -> dict[str, int]:
        coming: Counter[str] = Counter()
        for instance in state.instances.values():
            self._note_place(instance, now_s)
            coming[_get_coming_pool(instance)] += 1
        return {pool: coming[pool] for pool in self._forecasts}

    def _note_place(self, instance: Instance, now_s: float) -> None:
        known = self._places.get(instance.name)
        if known is None:
            self._places[instance.name] = (instance.pool, float('-inf'))
        elif known[0] != instance.pool:
            self._places[instance.name] = (instance.pool, now_s)

    def _watch_surplus(self, have: dict[str, int], now_s: float) -> None:
        for pool, count in have.items():
            kept = self.get_need(pool) * self._settings.surplus_factor
            if count - 1 >= kept:
                self._surplus_since_s.setdefault(pool, now_s)
            else:
                self._surplus_since_s.pop(pool, None)

    def _iterate(
        self,
        state: MaintenanceState,
        have: dict[str, int],
        now_s: float,
    ) -> Iterator[StepStart]:
        lacking = sorted(
            have,
            key=lambda pool: have[pool] - self.get_need(pool),
        )
        for target in lacking:
            missing = math.ceil(self.get_need(target)) - have[target]
            for _ in range(max(0, missing)):
                giver = self._pick(state, have, target, now_s)
                if giver is None:
                    break
                yield _start(state, have, giver, target)

    def _pick(
        self,
        state: MaintenanceState,
        have: dict[str, int],
        target: str,
        now_s: float,
    ) -> Instance | None:
        for pool in self._get_givers(state, have, target, now_s):
            for instance in state.instances.values():
                if instance.pool == pool and self._may_move(
                    state,
                    instance,
                    now_s,
                ):
                    return instance
        return None

    def _get_givers(
        self,
        state: MaintenanceState,
        have: dict[str, int],
        target: str,
        now_s: float,
    ) -> list[str]:
        since_s = self._surplus_since_s
        givers = [
            pool
            for pool in have
            if pool != target
            and now_s - since_s.get(pool, now_s) >= self._settings.hold_s
            and have[pool] - 1 >= self.get_need(pool)
        ]
        # The spare pool is there to lend; then whoever has most to spare.
        return sorted(
            givers,
            key=lambda pool: (
                pool != state.budgets.spare_pool,
                self.get_need(pool) - have[pool],
            ),
        )

    def _may_move(
        self,
        state: MaintenanceState,
        instance: Instance,
        now_s: float,
    ) -> bool:
        if instance.condition is not Condition.serving:
            return False
        came_s = self._places[instance.name][1]
        if now_s - came_s < self._settings.dwell_s:
            return False
        return state.ledger.explain_refusal(instance) is None


def _start(
    state: MaintenanceState,
    have: dict[str, int],
    giver: Instance,
    target: str,
) -> StepStart:
    have[giver.pool] -= 1
    have[target] += 1
    state.ledger.take_down(giver)
    return StepStart(
        giver.name,
        giver.changed_index,
        StepKind.move,
        target_pool=target,
    )


def _get_coming_pool(instance: Instance) -> str:
    """Give the pool that the instance serves or will serve."""
    step = instance.step
    if instance.condition is Condition.moving and step is not None:
        return step.target_pool
    if instance.condition in {Condition.down, Condition.set_aside}:
        return ''
    return instance.pool
