"""Apply commands to the state of maintenance."""

from functools import singledispatch

from sardinemast.maintenance import commands
from sardinemast.maintenance._changes import (
    cancel_wave_steps,
    change_condition,
    pause_wave,
    relieve_budgets,
)
from sardinemast.maintenance._choice import count_active
from sardinemast.maintenance._records import (
    Condition,
    Instance,
    Refusal,
    Step,
    StepKind,
    Wave,
    WaveStatus,
)
from sardinemast.maintenance._state import MaintenanceState


def apply_command(
    state: MaintenanceState,
    command: commands.Command,
    index: int,
) -> Refusal | None:
    """Change the state by the command at the index, or tell why not."""
    return _apply(command, state, index)


@singledispatch
def _apply(
    command: commands.Command,
    state: MaintenanceState,
    index: int,
) -> Refusal | None:
    raise TypeError(command)


@_apply.register
def _apply_budgets(
    command: commands.SetBudgets,
    state: MaintenanceState,
    index: int,
) -> None:
    state.replace_budgets(command.budgets)
    relieve_budgets(state, index, 'budgets changed')


@_apply.register
def _apply_enrolment(
    command: commands.EnrolInstance,
    state: MaintenanceState,
    index: int,
) -> Refusal | None:
    if command.name in state.instances:
        return Refusal('maintenance.E010', f'{command.name} is known.')
    state.put(
        Instance(
            command.name,
            command.region,
            command.data_centre,
            command.rack,
            command.pool,
            Condition.proving,
            index,
            maintained_at_s=command.at_s,
        ),
    )
    return None


@_apply.register
def _apply_changes(
    command: commands.ChangeConditions,
    state: MaintenanceState,
    index: int,
) -> None:
    # Failures first: a cut that is applied before a failure of the same
    # command would spend the budget that the failure has just taken.
    for change in sorted(command.changes, key=_is_cut):
        change_condition(state, change, command.at_s, index)


@_apply.register
def _apply_starts(
    command: commands.StartSteps,
    state: MaintenanceState,
    index: int,
) -> None:
    for start in command.steps:
        if _may_start(state, start, command.at_s):
            _start_step(state, start, command.at_s, index)


@_apply.register
def _apply_join(
    command: commands.JoinPool,
    state: MaintenanceState,
    index: int,
) -> Refusal | None:
    instance = state.instances.get(command.instance)
    if instance is None or instance.changed_index != command.based_on:
        return Refusal('maintenance.E011', f'{command.instance} changed.')
    step = instance.step
    if step is None or instance.condition is not Condition.moving:
        return Refusal('maintenance.E012', f'{instance.name} does not move.')
    state.put(
        instance._replace(
            pool=step.target_pool,
            condition=Condition.proving,
            changed_index=index,
            step=None,
            reason='joins',
        ),
    )
    replaced = state.instances.get(step.replaces)
    if replaced is not None and replaced.condition is Condition.set_aside:
        spare_pool = state.budgets.spare_pool
        state.put(replaced._replace(pool=spare_pool, changed_index=index))
    return None


@_apply.register
def _apply_readmission(
    command: commands.ReadmitInstance,
    state: MaintenanceState,
    index: int,
) -> Refusal | None:
    instance = state.instances.get(command.instance)
    if instance is None or instance.condition is not Condition.set_aside:
        return Refusal(
            'maintenance.E013',
            f'{command.instance} is not set aside.',
        )
    state.put(
        instance._replace(
            condition=Condition.draining,
            changed_index=index,
            step=Step(StepKind.readmit, index),
            reason='readmitted',
        ),
    )
    return None


@_apply.register
def _apply_wave(
    command: commands.StartWave,
    state: MaintenanceState,
    index: int,
) -> Refusal | None:
    known = state.waves.get(command.plan.name)
    if known and known.status in {WaveStatus.running, WaveStatus.paused}:
        return Refusal(
            'maintenance.E014',
            f'Wave {command.plan.name!r} is {known.status}.',
        )
    state.waves[command.plan.name] = Wave(
        command.plan,
        WaveStatus.running,
        command.at_s,
    )
    return None


@_apply.register
def _apply_pause(
    command: commands.PauseWave,
    state: MaintenanceState,
    index: int,
) -> Refusal | None:
    wave = state.waves.get(command.wave)
    if wave is None or wave.status not in {
        WaveStatus.running,
        WaveStatus.paused,
    }:
        return _refuse_wave(command.wave)
    pause_wave(state, wave, command.at_s, index)
    return None


@_apply.register
def _apply_resumption(
    command: commands.ResumeWave,
    state: MaintenanceState,
    index: int,
) -> Refusal | None:
    wave = state.waves.get(command.wave)
    if wave is None or wave.status is not WaveStatus.paused:
        return _refuse_wave(command.wave)
    # The leader resumes without a command id, and only what a failure paused;
    # an operator's pause that was decided meanwhile must stand.
    if not command.command_id and not wave.is_paused_by_failure:
        return _refuse_wave(command.wave)
    state.waves[command.wave] = wave._replace(
        status=WaveStatus.running,
        is_paused_by_failure=False,
        reason='',
    )
    return None


@_apply.register
def _apply_abort(
    command: commands.AbortWave,
    state: MaintenanceState,
    index: int,
) -> Refusal | None:
    wave = state.waves.get(command.wave)
    if wave is None or wave.status is WaveStatus.done:
        return _refuse_wave(command.wave)
    state.waves[command.wave] = wave._replace(
        status=WaveStatus.aborted,
        reason='operator',
    )
    cancel_wave_steps(state, command.wave, index, 'wave aborted')
    return None


@_apply.register
def _apply_finish(
    command: commands.FinishWave,
    state: MaintenanceState,
    index: int,
) -> Refusal | None:
    wave = state.waves.get(command.wave)
    if wave is None or wave.status is not WaveStatus.running:
        return _refuse_wave(command.wave)
    state.waves[command.wave] = wave._replace(status=WaveStatus.done)
    return None


@_apply.register
def _apply_entry(
    command: commands.NoteEntry,
    state: MaintenanceState,
    index: int,
) -> None:
    state.entry_runs[command.run] = index


@_apply.register
def _apply_forgetting(
    command: commands.ForgetEntry,
    state: MaintenanceState,
    index: int,
) -> None:
    if state.entry_runs.get(command.run) == command.based_on:
        state.entry_runs.pop(command.run)


def _is_cut(change: commands.ConditionChange) -> bool:
    return change.condition is Condition.rebooting


def _may_start(
    state: MaintenanceState,
    start: commands.StepStart,
    at_s: float,
) -> bool:
    instance = state.instances.get(start.instance)
    if instance is None or instance.changed_index != start.based_on:
        return False
    if instance.condition is not Condition.serving:
        return False
    # Two leaders in a row may each have chosen steps; only the state that the
    # log makes tells what is left of the wave's room and of the budgets.
    if start.wave and not _has_wave_room(state, start.wave, at_s):
        return False
    return state.ledger.explain_refusal(instance) is None


def _has_wave_room(state: MaintenanceState, name: str, at_s: float) -> bool:
    wave = state.waves.get(name)
    if wave is None or wave.status is not WaveStatus.running:
        return False
    if at_s < wave.last_start_s + wave.plan.pace_s:
        return False
    return count_active(state, name) < wave.plan.at_once


def _start_step(
    state: MaintenanceState,
    start: commands.StepStart,
    at_s: float,
    index: int,
) -> None:
    is_move = start.kind is StepKind.move
    state.put(
        state.instances[start.instance]._replace(
            condition=Condition.moving if is_move else Condition.draining,
            changed_index=index,
            step=Step(
                start.kind,
                index,
                start.wave,
                start.target_pool,
                start.replaces,
            ),
            reason='',
        ),
    )
    wave = state.waves.get(start.wave)
    if wave is not None:
        state.waves[start.wave] = wave._replace(last_start_s=at_s)


def _refuse_wave(name: str) -> Refusal:
    return Refusal('maintenance.E015', f'Wave {name!r} is not under way.')
