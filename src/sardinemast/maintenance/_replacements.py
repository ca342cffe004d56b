"""Spare instances for those that were set aside."""

from collections.abc import Iterable

from sardinemast.maintenance._records import (
    Condition,
    Instance,
    StepKind,
)
from sardinemast.maintenance._state import MaintenanceState
from sardinemast.maintenance.commands import StepStart


def choose_replacements(state: MaintenanceState) -> tuple[StepStart, ...]:
    """Choose a spare for each instance that was set aside and has none."""
    spare_pool = state.budgets.spare_pool
    lost = [
        instance
        for instance in state.instances.values()
        if instance.condition is Condition.set_aside
        and instance.pool != spare_pool
    ]
    if not spare_pool or not lost:
        return ()
    covered = {
        instance.step.replaces
        for instance in state.get_stepping()
        if instance.step is not None
    }
    with state.ledger.trial():
        return tuple(
            _choose(state, [one for one in lost if one.name not in covered]),
        )


def _choose(
    state: MaintenanceState,
    lost: list[Instance],
) -> Iterable[StepStart]:
    free = [
        instance
        for instance in state.instances.values()
        if instance.pool == state.budgets.spare_pool
        and instance.condition is Condition.serving
    ]
    for missing in lost:
        spare = _pick(state, free, missing)
        if spare is None:
            return
        free.remove(spare)
        state.ledger.take_down(spare)
        yield StepStart(
            spare.name,
            spare.changed_index,
            StepKind.move,
            target_pool=missing.pool,
            replaces=missing.name,
        )


def _pick(
    state: MaintenanceState,
    free: list[Instance],
    missing: Instance,
) -> Instance | None:
    # The same data centre first, so that the pool stays spread as it was.
    nearest = sorted(
        free,
        key=lambda one: (one.data_centre != missing.data_centre, one.name),
    )
    for spare in nearest:
        if state.ledger.explain_refusal(spare) is None:
            return spare
    return None
