"""Compare the runs that a worker reports with the log."""

from types import MappingProxyType
from typing import NamedTuple

from sardinemast.dispatch._events import (
    ReportedEnd,
    WorkerPolled,
)
from sardinemast.dispatch._worker_session import WorkerSession
from sardinemast.jobs import JobsState, RunEnd, TaskKey
from sardinemast.jobs.commands import FinishedRun

_RUN_ENDS = MappingProxyType({'done': RunEnd.done, 'failed': RunEnd.failed})


class OrphanRun(NamedTuple):
    """Identify a reported run that must be stopped."""

    task: TaskKey
    number: int


def collect_new_ends(
    session: WorkerSession, polled: WorkerPolled
) -> list[FinishedRun]:
    """Return the ends not reported before, and advance the cursor."""
    reported_ends = polled.answer.ended if polled.answer else ()
    new_ends = [
        one
        for one in reported_ends
        if one.position > session.end_cursor.reported
    ]
    if new_ends:
        session.end_cursor.reported = max(one.position for one in new_ends)
    return [_make_finished_run(one) for one in new_ends]


def find_lost_runs(
    state: JobsState,
    session: WorkerSession,
    polled: WorkerPolled,
    ending_tasks: set[TaskKey],
) -> list[FinishedRun]:
    """Return the runs in the log that certainly do not exist on the worker.

    A run that is not reported may still start later, unless the worker
    confirmed its start before the poll was sent or now refuses its fence.
    """
    lost_runs = []
    for task, number in state.runs.get(polled.worker, {}).items():
        reported = session.reported_runs.get(task)
        if task in ending_tasks or (reported and reported.number == number):
            continue
        if _is_certainly_absent(session, task, number, polled):
            lost_runs.append(FinishedRun(task, number, RunEnd.lost))
    return lost_runs


def find_orphan_runs(
    state: JobsState, session: WorkerSession
) -> list[OrphanRun]:
    """Return the reported runs that the log has ended or never had."""
    runs = state.runs.get(session.worker.name, {})
    return [
        OrphanRun(task, reported.number)
        for task, reported in session.reported_runs.items()
        if runs.get(task) != reported.number or state.jobs[task.job].is_over
    ]


def _make_finished_run(reported_end: ReportedEnd) -> FinishedRun:
    return FinishedRun(
        reported_end.task,
        reported_end.number,
        _RUN_ENDS.get(reported_end.result, RunEnd.lost),
        reported_end.checkpoint,
    )


def _is_certainly_absent(
    session: WorkerSession,
    task: TaskKey,
    number: int,
    polled: WorkerPolled,
) -> bool:
    sent_start = session.sent_starts.get(task)
    # A start that this leader has not sent is of an earlier leader. The worker
    # refuses it since the first poll with a fence of this term.
    if sent_start is None or sent_start.number != number:
        return True
    if sent_start.fence < polled.fence:
        return True
    confirmed_s = sent_start.confirmed_s
    return confirmed_s is not None and confirmed_s < polled.sent_s
