"""Next change of one instance, by its condition."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from sardinemast.maintenance._drains import DrainProofs
from sardinemast.maintenance._health import HealthWatch, Heard
from sardinemast.maintenance._records import (
    Condition,
    Instance,
    StepKind,
)
from sardinemast.maintenance._requests import PlatformRequests
from sardinemast.maintenance._settings import MaintenanceSettings
from sardinemast.maintenance._state import MaintenanceState
from sardinemast.maintenance.commands import ConditionChange


class StageContext(NamedTuple):
    """Hold what a leader knows at one moment."""

    state: MaintenanceState
    settings: MaintenanceSettings
    health: HealthWatch
    drains: DrainProofs
    requests: PlatformRequests
    now_s: float
    wall_s: float


class Stage(NamedTuple):
    """Hold an instance and since when this leader has seen it so."""

    context: StageContext
    instance: Instance
    seen_s: float

    @property
    def age_s(self) -> float:
        """Give how long this leader has seen the condition."""
        return self.context.now_s - self.seen_s

    def change(
        self,
        condition: Condition,
        reason: str = '',
        incarnation: int = 0,
        not_before_s: float = 0,
    ) -> ConditionChange:
        """Make a change of the instance as it stands."""
        return ConditionChange(
            self.instance.name,
            self.instance.changed_index,
            condition,
            incarnation,
            reason,
            not_before_s,
        )

    def get_heard(self) -> Heard | None:
        """Give the instance's newest word unless it is too old."""
        return self.context.health.get_fresh(
            self.instance.name,
            self.context.now_s,
        )


def plan_change(stage: Stage) -> ConditionChange | None:
    """Give the next change of the instance, if there is one."""
    plan = _STAGES.get(stage.instance.condition)
    return plan(stage) if plan else None


def _watch_serving(stage: Stage) -> ConditionChange | None:
    instance = stage.instance
    heard = stage.get_heard()
    if heard is None:
        silence_s = stage.context.health.get_silence_s(
            instance.name, stage.context.now_s
        )
        if silence_s <= stage.context.settings.suspect_after_s:
            return None
        return stage.change(Condition.suspected, 'silent')
    if heard.incarnation > instance.incarnation:
        return stage.change(
            Condition.proving,
            'restarted by itself',
            heard.incarnation,
        )
    return None


def _watch_suspected(stage: Stage) -> ConditionChange | None:
    instance = stage.instance
    heard = stage.get_heard()
    if heard is None:
        if stage.age_s <= stage.context.settings.down_after_s:
            return None
        return stage.change(Condition.down, 'silent')
    if heard.incarnation > instance.incarnation:
        return stage.change(
            Condition.proving,
            'restarted by itself',
            heard.incarnation,
        )
    return stage.change(Condition.serving, 'heard again')


def _watch_down(stage: Stage) -> ConditionChange | None:
    heard = stage.get_heard()
    if heard is not None:
        return stage.change(
            Condition.proving,
            'heard again',
            heard.incarnation,
        )
    if stage.age_s > stage.context.settings.replace_after_s:
        return stage.change(Condition.set_aside, 'stayed down')
    return None


def _watch_drain(stage: Stage) -> ConditionChange | None:
    instance = stage.instance
    if not _is_readmission(instance):
        failure = _watch_serving(stage)
        if failure is not None:
            return failure
    missing = stage.context.drains.get_missing(
        instance, stage.context.state.entry_runs
    )
    if not missing and instance.condition is Condition.draining:
        return stage.change(Condition.empty)
    if missing and stage.age_s > stage.context.settings.drain_bound_s:
        return _give_up_drain(stage)
    return None


def _give_up_drain(stage: Stage) -> ConditionChange:
    # A drain that never ends holds a part of the budget for ever and stops
    # its pool's maintenance. The instance serves on and is tried later.
    if _is_readmission(stage.instance):
        return stage.change(Condition.set_aside, 'drain got stuck')
    return stage.change(
        Condition.serving,
        'drain got stuck',
        not_before_s=stage.context.wall_s
        + stage.context.settings.drain_retry_s,
    )


def _watch_empty(stage: Stage) -> ConditionChange | None:
    if not _is_readmission(stage.instance):
        failure = _watch_serving(stage)
        if failure is not None:
            return failure
    return stage.change(Condition.rebooting)


def _watch_reboot(stage: Stage) -> ConditionChange | None:
    if stage.context.requests.is_rebooted(stage.instance):
        return stage.change(Condition.returning)
    return _give_up_return(stage, 'no reboot')


def _watch_return(stage: Stage) -> ConditionChange | None:
    instance = stage.instance
    heard = stage.get_heard()
    # What was heard before this leader saw the reboot answered may come from
    # a restart before the reboot, and would prove the wrong incarnation.
    if (
        heard is not None
        and heard.incarnation > instance.incarnation
        and heard.heard_s > stage.seen_s
    ):
        return stage.change(
            Condition.proving,
            incarnation=heard.incarnation,
        )
    return _give_up_return(stage, 'never returned')


def _watch_proof(stage: Stage) -> ConditionChange | None:
    instance = stage.instance
    heard = stage.get_heard()
    if heard is None or heard.pool != instance.pool:
        return _give_up_return(stage, 'not proved')
    if heard.incarnation > instance.incarnation:
        return stage.change(
            Condition.proving,
            incarnation=heard.incarnation,
        )
    if heard.incarnation < instance.incarnation:
        return None
    since_s = max(heard.steady_since_s, stage.seen_s)
    if stage.context.now_s - since_s >= stage.context.settings.proof_s:
        return stage.change(Condition.serving, 'proved')
    return None


def _give_up_return(
    stage: Stage,
    reason: str,
) -> ConditionChange | None:
    if stage.age_s <= stage.context.settings.return_bound_s:
        return None
    return stage.change(Condition.set_aside, reason)


def _is_readmission(instance: Instance) -> bool:
    step = instance.step
    return step is not None and step.kind is StepKind.readmit


_Stage = Callable[[Stage], ConditionChange | None]
_STAGES: Mapping[Condition, _Stage] = MappingProxyType(
    {
        Condition.serving: _watch_serving,
        Condition.suspected: _watch_suspected,
        Condition.down: _watch_down,
        Condition.draining: _watch_drain,
        Condition.moving: _watch_drain,
        Condition.empty: _watch_empty,
        Condition.rebooting: _watch_reboot,
        Condition.returning: _watch_return,
        Condition.proving: _watch_proof,
    },
)
