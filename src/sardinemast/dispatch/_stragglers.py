"""Find tasks that stand still or crawl, and have them start elsewhere.

A worker may be healthy by all that it says and work at a sixth of its speed,
or not at all. Its tasks never fail; they are only late, and with them the
jobs that wait for their last task.
"""

from typing import NamedTuple

from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import Contact
from sardinemast.jobs import RunEnd, StepState, TaskKey
from sardinemast.jobs.commands import FinishedRun

_MS = 1000
_WHOLE_PERCENT = 100
# Declared times are off by half to nearly twofold, so that a sound task may
# take 2 of them; slow workers took 4 to 8.
_PATIENCE = 2.5
_PATIENCE_S = 0.3
# One run alone may be a long one, declared far too short; a worker that crawls
# holds up all that it runs.
_PROOF_RUNS = 2
# Stopped and started again a task takes its whole time, and up to 0.9 s for
# the stop. It must have more than that before it where it is.
_REST_FACTOR = 1.5
_REST_S = 0.5
# A task that crawls everywhere is slow itself.
_RUNS_MAX = 2
# How far a run is tells its speed only after a moment; sound ones seem to need
# up to twice their declared time.
_FIRST_S = 0.25
_CRAWL_FACTOR = 3.0
# The worker is tried again after this, twice as long each time.
_AVOID_S = 2.0
_DOUBLINGS_MAX = 3
# A run within this much of its usual time shows that the worker is sound.
_SOUND_FACTOR = 1.8
# Weight of one run in the usual time of its queue.
_LEARNING = 0.1


class _Seen(NamedTuple):
    """Hold a run that is followed; its job may be forgotten before it ends."""

    number: int
    since_s: float
    queue: str
    estimate_ms: int


_SeenRuns = dict[TaskKey, _Seen]


class StragglerDetector:
    """Follow how far runs are, and stop those that another worker overtakes."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._seen: dict[str, _SeenRuns] = {}
        self._usual: dict[str, float] = {}
        self._slow: dict[str, int] = {}

    def start_term(self) -> None:
        """Know nothing of runs of a former term."""
        self._seen.clear()
        self._slow.clear()

    def note_ends(
        self,
        contact: Contact,
        ends: list[FinishedRun],
        now_s: float,
    ) -> None:
        """Learn how long runs take, measured in their declared time."""
        known = self._seen.get(contact.worker.name, {})
        for over in ends:
            seen = known.get(over.task)
            if seen is None or over.end is not RunEnd.done:
                continue
            if seen.number == over.number:
                taken_s = now_s - seen.since_s
                factor = taken_s * _MS / seen.estimate_ms
                self._learn(contact.worker.name, seen.queue, factor)

    def judge(self, contact: Contact, now_s: float) -> None:
        """Stop the runs at a worker that are sooner done elsewhere."""
        seen = self._follow(contact, now_s)
        slow = self._list_slow(contact, seen, now_s)
        if len(slow) < _PROOF_RUNS:
            return
        self._avoid(contact, now_s)
        for task in slow:
            number = seen[task].number
            if number < _RUNS_MAX and self._has_room(task, contact, now_s):
                self._state.log(
                    'run.straggles',
                    str(task),
                    run=number,
                    worker=contact.worker.name,
                    since_s=round(now_s - seen[task].since_s, 3),
                    percent=contact.listed[task].percent,
                )
                self._state.stop(contact, task, number, now_s)

    def _learn(self, worker: str, queue: str, factor: float) -> None:
        usual = self._usual.get(queue, 1)
        self._usual[queue] = usual + (factor - usual) * _LEARNING
        if factor < _SOUND_FACTOR * usual:
            self._slow.pop(worker, None)

    def _follow(self, contact: Contact, now_s: float) -> _SeenRuns:
        """Give since when each run is listed; others are forgotten."""
        name = contact.worker.name
        known = self._seen.get(name, {})
        seen: _SeenRuns = {}
        for task, run in contact.listed.items():
            before = known.get(task)
            if before is None or before.number != run.number:
                step = self._state.jobs.find_step(task)
                if step is None or not _is_judged(step, contact):
                    continue
                begun_s = _get_begin_s(contact, task, run.number, now_s)
                before = _Seen(
                    run.number,
                    begun_s,
                    self._state.jobs.get_queue(step).name,
                    step.spec.estimate_ms,
                )
            seen[task] = before
        self._seen[name] = seen
        return seen

    def _list_slow(
        self,
        contact: Contact,
        seen: _SeenRuns,
        now_s: float,
    ) -> list[TaskKey]:
        slow = [
            task
            for task, one in seen.items()
            if task not in contact.stopping
            and self._is_slow(one, contact.listed[task].percent, now_s)
        ]
        # What a caller declares for a step is wrong for all of its tasks, so
        # that two of one step prove nothing before they are overdue.
        if len({task[:-1] for task in slow}) >= _PROOF_RUNS:
            return slow
        return [task for task in slow if self._is_overdue(seen[task], now_s)]

    def _is_slow(self, seen: _Seen, percent: float, now_s: float) -> bool:
        since_s = now_s - seen.since_s
        done = max(percent, 1)
        whole_s = since_s * _WHOLE_PERCENT / done
        usual_s = self._get_usual_s(seen)
        # A worker that crawls shows it long before its runs are overdue, by
        # how far they are. To wait for that cost a job most of its time.
        crawls = since_s >= _FIRST_S and whole_s >= _CRAWL_FACTOR * usual_s
        if not crawls and not self._is_overdue(seen, now_s):
            return False
        return whole_s - since_s > _REST_FACTOR * usual_s + _REST_S

    def _is_overdue(self, seen: _Seen, now_s: float) -> bool:
        patience_s = _PATIENCE * self._get_usual_s(seen) + _PATIENCE_S
        return now_s - seen.since_s >= patience_s

    def _get_usual_s(self, seen: _Seen) -> float:
        return seen.estimate_ms / _MS * self._usual.get(seen.queue, 1)

    def _avoid(self, contact: Contact, now_s: float) -> None:
        name = contact.worker.name
        if now_s < contact.distrust.until_s:
            return
        times = self._slow.get(name, 0)
        self._slow[name] = times + 1
        avoid_s = _AVOID_S * 2 ** min(times, _DOUBLINGS_MAX)
        contact.distrust.until_s = now_s + avoid_s
        self._state.log('worker.slow', name, avoid_s=avoid_s)

    def _has_room(
        self,
        task: TaskKey,
        contact: Contact,
        now_s: float,
    ) -> bool:
        state = self._state
        step = state.jobs.find_step(task)
        if step is None:
            return False
        fitting = state.jobs.usage.free.iterate_fitting(
            contact.worker.pool,
            step.spec.reserved_size,
        )
        return any(
            state.contacts[name].is_usable(now_s, has_runs=True)
            for name in fitting
            if name != contact.worker.name and name in state.contacts
        )


def _get_begin_s(
    contact: Contact,
    task: TaskKey,
    number: int,
    now_s: float,
) -> float:
    # A worker is looked at when something ends there, so that a run is often
    # listed late. Counted from then, short runs would seem to take no time,
    # and all others would be taken for slow.
    sent = contact.sent.get(task)
    if sent is None or sent.number != number:
        return now_s
    return sent.confirmed_s or now_s


def _is_judged(step: StepState, contact: Contact) -> bool:
    wanted = step.spec
    # Members of a gang wait for each other, and a task far from its data is
    # slow wherever there is room for it.
    if wanted.is_long_running or wanted.is_gang or not wanted.estimate_ms:
        return False
    return wanted.data_rack in {'', contact.worker.rack}
