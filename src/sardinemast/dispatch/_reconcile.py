"""Compare the runs that a worker reports with the log."""

import itertools
from collections.abc import Container
from types import MappingProxyType

from sardinemast.dispatch._events import (
    ReportedEnd,
    WorkerPolled,
    WorkerReport,
)
from sardinemast.dispatch._worker_session import NumberedRun, WorkerSession
from sardinemast.jobs import JobsState, RunEnd, TaskKey
from sardinemast.jobs.commands import FinishedRun

_RUN_ENDS = MappingProxyType({'done': RunEnd.done, 'failed': RunEnd.failed})


def collect_new_ends(
    session: WorkerSession, report: WorkerReport
) -> list[FinishedRun]:
    """Return the ends not reported before, and advance the cursor.

    The cursor also passes ends that cannot be read. The worker would list them
    again in each report, and answer each poll at once.
    """
    new_ends = [
        one
        for one in report.ended
        if one.position > session.end_cursor.reported
    ]
    session.end_cursor.reported = max(
        session.end_cursor.reported,
        report.unread_position,
        *(one.position for one in new_ends),
    )
    return [_make_finished_run(one) for one in new_ends]


def find_lost_runs(
    state: JobsState,
    session: WorkerSession,
    polled: WorkerPolled,
    report: WorkerReport,
    new_ends: list[FinishedRun],
    ending_tasks: Container[TaskKey],
) -> set[NumberedRun]:
    """Return the runs in the log that neither exist nor ended on the worker.

    The session must hold the previous report. A report lists the oldest ends
    only, so the end of a missing run may be listed by a later one. All ends are
    known once a report lists no new one. Those before the previous report are
    known once a run has ended that was active in it; otherwise a worker whose
    runs end all the time would never be settled.
    """
    missing_runs = {
        run
        for run in _find_missing_runs(state, session, polled, report)
        if run.task not in ending_tasks
    }
    lost_runs = missing_runs
    if new_ends or report.unread_position > session.end_cursor.recorded:
        is_covered = any(_was_active(session, one) for one in new_ends)
        lost_runs = missing_runs & session.missing_runs if is_covered else set()
    session.missing_runs = missing_runs - lost_runs
    return lost_runs


def find_orphan_runs(
    state: JobsState, session: WorkerSession
) -> list[NumberedRun]:
    """Return the reported runs that the log has ended or never had."""
    runs = state.runs.get(session.worker.name, {})
    return [
        NumberedRun(task, reported.number)
        for task, reported in session.reported_runs.items()
        if runs.get(task) != reported.number or state.jobs[task.job].is_over
    ]


def has_unrecorded_runs(state: JobsState, session: WorkerSession) -> bool:
    """Check for reported runs whose capacity is free in the log.

    A start that was given up may be executed by a later boot of its worker.
    Each report that lists such a run stops it.
    """
    if not session.sent_stops:
        return False
    runs = state.runs.get(session.worker.name, {})
    return any(
        runs.get(task) != reported.number
        for task, reported in session.reported_runs.items()
    )


def _find_missing_runs(
    state: JobsState,
    session: WorkerSession,
    polled: WorkerPolled,
    report: WorkerReport,
) -> set[NumberedRun]:
    """Return the runs in the log that are not active and cannot start.

    A run that is not reported may still start later, unless the worker
    confirmed its start before the poll was sent or now refuses its fence.
    """
    active_runs = {NumberedRun(one.task, one.number) for one in report.running}
    recorded_runs = state.runs.get(polled.worker, {}).items()
    return {
        run
        for run in itertools.starmap(NumberedRun, recorded_runs)
        if run not in active_runs
        and run.task not in report.unread_tasks
        and _is_certainly_absent(session, run.task, run.number, polled)
    }


def _was_active(session: WorkerSession, ended: FinishedRun) -> bool:
    reported = session.reported_runs.get(ended.task)
    return reported is not None and reported.number == ended.number


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
