"""Limit how many tasks of a long-running step are unavailable."""

from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import StepState, TaskKey

_SERVING_PERCENT = 100


def is_serving(
    state: DispatchState,
    step: StepState,
    position: int,
    now_s: float,
) -> bool:
    """Check that a task is reported as started and is not being stopped."""
    run = step.running.get(position)
    session = state.sessions.get(run.worker) if run else None
    if run is None or session is None or state.suspected.is_lost(run.worker):
        return False
    task = step.get_task(position)
    reported = session.reported_runs.get(task)
    if reported is None or reported.number != run.number:
        return False
    # A report sent before the stop arrived still lists the run.
    if session.find_stop(task, run.number) is not None:
        return False
    is_recent = now_s < session.last_heard_s + state.settings.quiet_s
    return is_recent and reported.percent >= _SERVING_PERCENT


def may_stop(
    state: DispatchState,
    step: StepState,
    task: TaskKey,
    now_s: float,
) -> bool:
    """Check whether a task may be stopped without exceeding its step's limit.

    All unavailable tasks count against the limit, crashed ones included.

    The task itself is assumed to be serving: its last report may be outdated,
    and an unanswered stop may have been lost.
    """
    if not _has_limit(step):
        return True
    unavailable = sum(
        not is_serving(state, step, position, now_s)
        for position in range(step.spec.task_count)
        if position != task.position
    )
    return unavailable < step.spec.max_unavailable


def count_stoppable(state: DispatchState, step: StepState, now_s: float) -> int:
    """Return how many serving tasks of a step may be stopped at once."""
    if not _has_limit(step):
        return step.spec.task_count
    unavailable = sum(
        not is_serving(state, step, position, now_s)
        for position in range(step.spec.task_count)
    )
    return max(step.spec.max_unavailable - unavailable, 0)


def _has_limit(step: StepState) -> bool:
    return step.spec.is_long_running and step.spec.max_unavailable > 0
