"""Translate the reports of workers to records."""

from sardinemast.dispatch import ReportedEnd, ReportedRun, WorkerReport
from sardinemast.jobs import TaskKey
from sardinemast.platform._decoding import is_in_range, is_number
from sardinemast.platform._worker_bodies import (
    EndRow,
    RunRow,
    WorkerReportBody,
)

_TASK_NUMBERS = 3
_FULL_PERCENT = 100
# More than any tail latency in milliseconds and any CPU usage in millicores.
_GAUGE_MAX = 1_000_000_000


def make_worker_report(body: WorkerReportBody) -> WorkerReport:
    """Return a worker's report, without rows that name no task."""
    runs = [(parse_task_key(row.task), row) for row in body.get('running', [])]
    ends = body.get('finished', [])
    read_ends = [_make_end(row) for row in ends]
    unread_ends = [
        row.position
        for row, end in zip(ends, read_ends, strict=True)
        if end is None
    ]
    return WorkerReport(
        body.get('born', 0),
        body.get('wall_ms', 0),
        tuple(
            _make_run(task, row)
            for task, row in runs
            if task is not None and _is_count(row.run)
        ),
        tuple(end for end in read_ends if end is not None),
        frozenset(
            task
            for task, row in runs
            if task is not None and not _is_count(row.run)
        ),
        max(filter(_is_count, unread_ends), default=0),
        has_unread_ends=not all(map(_is_count, unread_ends)),
    )


def parse_task_key(name: str) -> TaskKey | None:
    """Parse a task's dotted name; return ``None`` if it is invalid."""
    parts = name.rsplit('.', _TASK_NUMBERS)
    if len(parts) != _TASK_NUMBERS + 1:
        return None
    if not all(map(is_number, parts[1:])):
        return None
    return TaskKey(parts[0], *map(int, parts[1:]))


def _is_count(number: int) -> bool:
    """Check a number that starts at 1; 0 stands for one that is unreadable."""
    return number > 0 and is_in_range(number)


def _make_run(task: TaskKey, row: RunRow) -> ReportedRun:
    return ReportedRun(
        task,
        row.run,
        row.saved,
        int(min(max(row.percent, 0), _FULL_PERCENT)),
        int(min(max(row.gauge, 0), _GAUGE_MAX)),
    )


def _make_end(row: EndRow) -> ReportedEnd | None:
    task = parse_task_key(row.task)
    if task is None or not (_is_count(row.position) and _is_count(row.run)):
        return None
    return ReportedEnd(row.position, task, row.run, row.how, row.saved)
