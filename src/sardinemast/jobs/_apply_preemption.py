"""Apply the command that records preemptions."""

from sardinemast.jobs import commands
from sardinemast.jobs._state import JobsState


def record_preemptions(
    command: commands.PreemptRuns,
    state: JobsState,
    log_index: int,
) -> None:
    """Count each run once that gives way, unless it has ended."""
    for task, number in command.runs:
        step = state.find_step(task)
        run = step.running.get(task.position) if step else None
        if step is None or run is None or run.number != number:
            continue
        known = step.preempted.get(task.position, ())
        if number not in known:
            step.preempted[task.position] = (*known, number)
