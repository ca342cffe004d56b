"""Compare what a worker lists with what the log says."""

from types import MappingProxyType
from typing import NamedTuple

from sardinemast.dispatch._events import (
    ReportedEnd,
    WorkerPolled,
)
from sardinemast.dispatch._worker_session import Contact
from sardinemast.jobs import JobsState, RunEnd, TaskKey
from sardinemast.jobs.commands import FinishedRun

_ENDS = MappingProxyType({'done': RunEnd.done, 'failed': RunEnd.failed})


class Orphan(NamedTuple):
    """Name a run at a worker that should not go on."""

    task: TaskKey
    number: int


def collect_ends(contact: Contact, looked: WorkerPolled) -> list[FinishedRun]:
    """Give the ends that were not noted before, and note them."""
    ended = looked.answer.ended if looked.answer else ()
    fresh = [one for one in ended if one.position > contact.ends.noted]
    if fresh:
        contact.ends.noted = max(one.position for one in fresh)
    return [_make_over(one) for one in fresh]


def find_lost(
    state: JobsState,
    contact: Contact,
    looked: WorkerPolled,
    ending: set[TaskKey],
) -> list[FinishedRun]:
    """Give the runs that the log has here and that surely do not exist.

    One that is not listed may still be on its way, unless the worker had
    confirmed it before the look, or a higher fence came before it.
    """
    lost = []
    for task, number in state.runs.get(looked.worker, {}).items():
        listed = contact.listed.get(task)
        if task in ending or (listed and listed.number == number):
            continue
        if _cannot_come(contact, task, number, looked):
            lost.append(FinishedRun(task, number, RunEnd.lost))
    return lost


def find_orphans(state: JobsState, contact: Contact) -> list[Orphan]:
    """Give the runs listed here that the log has ended or never had."""
    runs = state.runs.get(contact.worker.name, {})
    return [
        Orphan(task, listed.number)
        for task, listed in contact.listed.items()
        if runs.get(task) != listed.number or state.jobs[task.job].is_over
    ]


def _make_over(ended: ReportedEnd) -> FinishedRun:
    return FinishedRun(
        ended.task,
        ended.number,
        _ENDS.get(ended.result, RunEnd.lost),
        ended.checkpoint,
    )


def _cannot_come(
    contact: Contact,
    task: TaskKey,
    number: int,
    looked: WorkerPolled,
) -> bool:
    sent = contact.sent.get(task)
    # What this leader has not sent was recorded by an earlier one, whose
    # orders end with the first look under this term's fence.
    if sent is None or sent.number != number:
        return True
    if sent.fence < looked.fence:
        return True
    confirmed_s = sent.confirmed_s
    return confirmed_s is not None and confirmed_s < looked.sent_s
