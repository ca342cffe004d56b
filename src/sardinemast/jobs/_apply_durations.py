"""Apply commands on learned durations."""

from sardinemast.jobs import commands
from sardinemast.jobs._durations import SUMMARIES_MAX, drop_excess_keys
from sardinemast.jobs._state import JobsState


def record_durations(
    command: commands.NoteDurations,
    state: JobsState,
    log_index: int,
) -> None:
    """Replace the summaries of the keys that changed."""
    for summary in command.summaries[:SUMMARIES_MAX]:
        state.durations.pop(summary.key, None)
        state.durations[summary.key] = summary
    drop_excess_keys(state.durations)
