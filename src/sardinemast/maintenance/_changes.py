"""Changes of one instance, and what follows from them."""

from collections.abc import Mapping
from types import MappingProxyType

from sardinemast.maintenance._records import (
    Condition,
    Instance,
    StepKind,
    Wave,
    WaveStatus,
    is_uncut,
)
from sardinemast.maintenance._state import MaintenanceState
from sardinemast.maintenance.commands import ConditionChange

# ``rebooting`` follows only from ``empty``: no reboot is ever asked for an
# instance whose emptiness was not confirmed.
_ALLOWED: Mapping[Condition, frozenset[Condition]] = MappingProxyType(
    {
        Condition.serving: frozenset((Condition.suspected, Condition.proving)),
        Condition.suspected: frozenset(
            (Condition.serving, Condition.proving, Condition.down),
        ),
        Condition.down: frozenset((Condition.proving, Condition.set_aside)),
        Condition.draining: frozenset(
            (
                Condition.empty,
                Condition.serving,
                Condition.suspected,
                Condition.proving,
                Condition.set_aside,
            ),
        ),
        Condition.empty: frozenset(
            (
                Condition.rebooting,
                Condition.serving,
                Condition.suspected,
                Condition.proving,
                Condition.set_aside,
            ),
        ),
        Condition.rebooting: frozenset(
            (Condition.returning, Condition.set_aside),
        ),
        Condition.returning: frozenset(
            (Condition.proving, Condition.set_aside),
        ),
        Condition.proving: frozenset(
            (
                Condition.serving,
                Condition.proving,
                Condition.down,
                Condition.set_aside,
            ),
        ),
        Condition.set_aside: frozenset(),
        Condition.moving: frozenset(
            (Condition.serving, Condition.suspected, Condition.proving),
        ),
    },
)
_ENDS_STEP = frozenset(
    (
        Condition.serving,
        Condition.suspected,
        Condition.down,
        Condition.set_aside,
    ),
)
_FAILED = frozenset((Condition.down, Condition.set_aside))
_LOST = _FAILED | {Condition.suspected, Condition.proving}


def change_condition(
    state: MaintenanceState,
    change: ConditionChange,
    at_s: float,
    index: int,
) -> bool:
    """Apply one change, and tell whether it fitted the state."""
    known = state.instances.get(change.instance)
    if known is None or known.changed_index != change.based_on:
        return False
    if not _is_allowed(known, change.condition):
        return False
    if change.condition is Condition.rebooting and _is_cut_refused(
        state,
        known,
    ):
        # A failure landed after the step began. Cutting now would pass the
        # budget, which shows as too few serving instances; so it is undone.
        cancel_step(state, known, index, 'budget')
        return False
    state.put(_make_changed(known, change, at_s, index))
    if change.condition in _LOST and known.condition is not Condition.returning:
        _react_to_failure(state, state.instances[known.name], at_s, index)
    return True


def cancel_step(
    state: MaintenanceState,
    instance: Instance,
    index: int,
    reason: str,
) -> None:
    """Undo a step that has not cut."""
    is_readmission = _is_readmission(instance)
    condition = Condition.set_aside if is_readmission else Condition.serving
    state.put(
        instance._replace(
            condition=condition,
            changed_index=index,
            step=None,
            reason=reason,
        ),
    )


def cancel_wave_steps(
    state: MaintenanceState,
    wave: str,
    index: int,
    reason: str,
) -> None:
    """Undo all steps of a wave that have not cut."""
    for instance in state.get_uncut():
        step = instance.step
        if step is not None and step.wave == wave:
            cancel_step(state, instance, index, reason)


def pause_wave(
    state: MaintenanceState,
    wave: Wave,
    at_s: float,
    index: int,
    failed: str = '',
) -> None:
    """Pause a wave, for a failed instance or by an operator."""
    name = wave.plan.name
    reason = f'{failed} failed' if failed else 'operator'
    state.waves[name] = wave._replace(
        status=WaveStatus.paused,
        paused_at_s=at_s,
        is_paused_by_failure=bool(failed),
        reason=reason,
    )
    cancel_wave_steps(state, name, index, f'wave paused: {reason}')


def reassign_instance(
    state: MaintenanceState,
    name: str,
    pool: str,
    index: int,
) -> None:
    """Follow an operator who puts an instance into another pool at once.

    Its step ends, and it counts as down until it has proved itself there.
    """
    known = state.instances.get(name)
    if known is None or known.pool == pool:
        return
    is_aside = known.condition is Condition.set_aside
    state.put(
        known._replace(
            pool=pool,
            condition=known.condition if is_aside else Condition.proving,
            changed_index=index,
            step=None,
            reason='assigned by an operator',
        ),
    )


def forget_instance(state: MaintenanceState, name: str) -> None:
    """Follow an operator who removes an instance."""
    state.remove(name)


def _is_allowed(known: Instance, condition: Condition) -> bool:
    # A readmitted instance has not proved itself: it never goes back to
    # serving by way of a cancelled step, only by way of its reboot.
    if _is_readmission(known) and is_uncut(known):
        return condition in {
            Condition.empty,
            Condition.rebooting,
            Condition.set_aside,
        }
    if condition is Condition.set_aside and is_uncut(known):
        return False
    return condition in _ALLOWED[known.condition]


def _is_readmission(instance: Instance) -> bool:
    step = instance.step
    return step is not None and step.kind is StepKind.readmit


def _is_cut_refused(state: MaintenanceState, instance: Instance) -> bool:
    # What was set aside is down already, and its reboot takes nothing away.
    if _is_readmission(instance):
        return False
    return state.ledger.explain_refusal(instance) is not None


def _make_changed(
    known: Instance,
    change: ConditionChange,
    at_s: float,
    index: int,
) -> Instance:
    is_done = (
        change.condition is Condition.serving
        and known.condition is Condition.proving
    )
    is_kept = change.condition not in _ENDS_STEP and (
        change.condition is not Condition.proving
        or known.condition in {Condition.returning, Condition.proving}
    )
    is_maintained = is_done and known.step is not None
    return known._replace(
        condition=change.condition,
        changed_index=index,
        incarnation=max(known.incarnation, change.incarnation),
        maintained_at_s=at_s if is_maintained else known.maintained_at_s,
        not_before_s=change.not_before_s or known.not_before_s,
        step=known.step if is_kept else None,
        reason=change.reason,
    )


def _react_to_failure(
    state: MaintenanceState,
    failed: Instance,
    at_s: float,
    index: int,
) -> None:
    if failed.condition in _FAILED:
        for wave in tuple(state.waves.values()):
            if (
                wave.status is WaveStatus.running
                and failed.pool in wave.plan.pools
            ):
                pause_wave(state, wave, at_s, index, failed.name)
    relieve_budgets(state, index, 'a failure took the budget')


def relieve_budgets(
    state: MaintenanceState,
    index: int,
    reason: str,
) -> None:
    """Undo the newest steps that have not cut, until budgets hold.

    The order is by log index and name alone. A replica that was started from
    an image holds its instances in another order than one that read the log;
    if they undid different steps, their states would part.
    """
    uncut = state.get_uncut()
    for instance in sorted(uncut, key=_get_step_order, reverse=True):
        if _is_cut_refused(state, instance):
            cancel_step(state, instance, index, reason)


def _get_step_order(instance: Instance) -> tuple[int, str]:
    step = instance.step
    return (step.log_index if step else 0, instance.name)
