"""How many tasks of a lasting step are away, and who may go next."""

from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import StepState, TaskKey

_AT_WORK_PERCENT = 100


def is_at_work(
    state: DispatchState,
    step: StepState,
    position: int,
    now_s: float,
) -> bool:
    """Tell whether a task serves: started up, heard and not told to stop."""
    run = step.running.get(position)
    contact = state.contacts.get(run.worker) if run else None
    if run is None or contact is None:
        return False
    task = step.get_task(position)
    listed = contact.listed.get(task)
    if listed is None or listed.number != run.number:
        return False
    # A list that crosses the order still shows the run at work.
    stopping = contact.stopping.get(task)
    if stopping is not None and stopping.number == run.number:
        return False
    is_heard = now_s < contact.heard_s + state.settings.quiet_s
    return is_heard and listed.percent >= _AT_WORK_PERCENT


def may_stop(
    state: DispatchState,
    step: StepState,
    task: TaskKey,
    now_s: float,
) -> bool:
    """Tell whether a task may be ended by our own doing.

    A lasting step promises its users that only so many of its tasks are away
    at once. Whatever took one away counts, also a crash: the users miss it
    all the same.

    The task itself is taken to serve, whatever is known of it: its list is up
    to a second old, and an order to stop it that had no answer may be lost.
    Ended on that ground, it would be the second one that users miss.
    """
    if not step.spec.is_long_running or not step.spec.max_unavailable:
        return True
    away = sum(
        not is_at_work(state, step, position, now_s)
        for position in range(step.spec.task_count)
        if position != task.position
    )
    return away < step.spec.max_unavailable
