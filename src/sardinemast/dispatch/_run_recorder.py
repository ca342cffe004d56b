"""Ends and starts of runs on their way through the log."""

from collections import defaultdict

from sardinemast.dispatch._events import (
    TICKET_REASON,
    StartAnswered,
    StartRun,
)
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._planner import Planner
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._step_priority import get_order
from sardinemast.dispatch._tickets import Tickets
from sardinemast.dispatch._worker_session import Contact, SentStart
from sardinemast.jobs import RunEnd, StepKey, StepState, TaskKey, Worker
from sardinemast.jobs.commands import FinishedRun, RecordRuns, RunStart

# Room that a worker refuses is told by its next look, well within this.
_AVOID_REFUSED_S = 0.3
# One that answers with an error or not at all is tried again at this rate.
_AVOID_UNHEALTHY_S = 1.5
# So many failures with no success between are more than bad luck: a few in a
# hundred tasks fail by their own fault.
_FAILURES_MAX = 2
_AVOID_FAILING_S = 1.0
_DOUBLINGS_MAX = 4
# What time alone changes (who is heard, who is avoided) waits this long.
_PLAN_AGAIN_S = 0.1


class Starts:
    """Record ends and starts together, and send what is recorded.

    One command with all that has gathered is on its way at a time, so that
    neither a start nor an end needs an entry of the log to itself.
    """

    def __init__(self, state: DispatchState, tickets: Tickets) -> None:
        self._state = state
        self._tickets = tickets
        self._recording: RecordRuns | None = None
        self._failed_at: dict[TaskKey, set[str]] = defaultdict(set)
        self._planned_s: float = 0

    def start_term(self) -> None:
        """Forget what was under way in a former term."""
        self._recording = None
        self._failed_at.clear()

    def note_ends(
        self,
        contact: Contact,
        ends: list[FinishedRun],
        now_s: float,
    ) -> None:
        """Learn from ends; what failed at a worker goes elsewhere next.

        A worker that fails all that it starts has room all the time, and
        would get one task after the other until their attempts are used up.
        """
        for over in ends:
            if over.end is RunEnd.done:
                contact.distrust.failures = 0
            elif over.end is RunEnd.failed:
                # One that failed elsewhere too is likely hopeless itself.
                contact.distrust.failures += not self._failed_at[over.task]
                self._failed_at[over.task].add(contact.worker.name)
        if contact.distrust.failures >= _FAILURES_MAX:
            doublings = min(
                contact.distrust.failures - _FAILURES_MAX, _DOUBLINGS_MAX
            )
            avoid_s = _AVOID_FAILING_S * 2**doublings
            contact.distrust.until_s = now_s + avoid_s
            self._state.log(
                'worker.avoided',
                contact.worker.name,
                failures=contact.distrust.failures,
                avoid_s=avoid_s,
            )

    @property
    def is_recording(self) -> bool:
        """Tell whether ends and starts are on their way into the log."""
        return self._recording is not None

    def record(self, now_s: float, now_ms: int) -> None:
        """Put what is due on its way into the log."""
        starts = self._plan(now_s, now_ms)
        ends = tuple(self._state.ends.values())
        if ends or starts:
            self._state.ends.clear()
            self._recording = RecordRuns(ends, starts)
            self._state.propose(self._recording)

    def take_recorded(self, command: RecordRuns, now_s: float) -> bool:
        """Send the starts that the log has taken, if they are this term's."""
        if command != self._recording:
            return False
        self._recording = None
        for start in command.starts:
            step = self._state.jobs.find_step(start.task)
            run = step.running.get(start.task.position) if step else None
            if step and run == (start.number, start.worker):
                self._send(step, start, now_s)
        for over in command.ends:
            self._state.log(
                'run.ended',
                str(over.task),
                run=over.number,
                result=over.end.value,
            )
            self._stop_rest(over.task, now_s)
        return True

    def take_answer(
        self,
        contact: Contact,
        answered: StartAnswered,
        now_s: float,
    ) -> None:
        """Take a worker's answer to a start."""
        sent = contact.sent.get(answered.task)
        if sent is None or sent.number != answered.number:
            return
        contact.note_clock(answered.clock_ms, now_s)
        if answered.outcome is not OrderOutcome.done:
            self._state.log(
                'run.not_started',
                str(answered.task),
                run=answered.number,
                worker=answered.worker,
                outcome=answered.outcome.value,
                reason=answered.reason,
            )
        if answered.outcome is OrderOutcome.done:
            contact.sent[answered.task] = sent._replace(confirmed_s=now_s)
            contact.heard_s = now_s
        elif answered.outcome is OrderOutcome.unknown:
            contact.looks.has_doubt = True
            contact.distrust.until_s = now_s + _AVOID_UNHEALTHY_S
        else:
            contact.sent.pop(answered.task)
            lost = FinishedRun(answered.task, answered.number, RunEnd.lost)
            self._state.note_end(lost)
            if answered.reason == TICKET_REASON:
                step_key = StepKey(*answered.task[:-1])
                self._tickets.forget(step_key, answered.worker)
                return
            avoid_s = _AVOID_UNHEALTHY_S
            if answered.reason:
                avoid_s = _AVOID_REFUSED_S
            contact.distrust.until_s = now_s + avoid_s

    def _plan(self, now_s: float, now_ms: int) -> tuple[RunStart, ...]:
        state = self._state
        again_s = self._planned_s + _PLAN_AGAIN_S
        is_due = state.is_changed or now_s >= again_s
        if not state.jobs.ready or not is_due:
            return ()
        state.is_changed = False
        self._planned_s = now_s
        if not any(step.waiting for step in state.jobs.ready.values()):
            return ()

        def order(step: StepState) -> tuple[float, ...]:
            return get_order(state.jobs.get_job(step), step, now_ms)

        def is_allowed(step: StepState, worker: Worker) -> bool:
            return self._tickets.is_allowed(step, worker, now_s)

        def is_usable(name: str) -> bool:
            return self._is_usable(name, now_s)

        self._tickets.ask(is_usable, now_s, now_ms)
        return Planner(
            state.jobs,
            is_usable,
            order,
            self._is_avoided,
            is_allowed,
        ).choose()

    def _is_usable(self, name: str, now_s: float) -> bool:
        contact = self._state.contacts.get(name)
        if contact is None:
            return False
        has_runs = bool(self._state.get_runs(name))
        return contact.is_usable(now_s, has_runs=has_runs)

    def _is_avoided(self, task: TaskKey, worker: str) -> bool:
        return worker in self._failed_at.get(task, ())

    def _send(self, step: StepState, start: RunStart, now_s: float) -> None:
        contact = self._state.contacts.get(start.worker)
        if contact is None or not contact.is_synced:
            # It was lost while the start was recorded, and hears nothing.
            lost = FinishedRun(start.task, start.number, RunEnd.lost)
            self._state.note_end(lost)
            return
        self._state.log(
            'run.started',
            str(start.task),
            run=start.number,
            worker=start.worker,
            fence=contact.fence,
        )
        contact.sent[start.task] = SentStart(start.number, contact.fence)
        self._state.outputs.append(
            StartRun(
                contact.worker,
                start.task,
                start.number,
                contact.fence,
                contact.grant(now_s),
                self._state.jobs.get_job(step).request.spec,
                _get_checkpoint(step, start.task.position),
                self._state.settings.answer_s,
                self._tickets.find(step, contact.worker, now_s),
            ),
        )

    def _stop_rest(self, ended: TaskKey, now_s: float) -> None:
        self._state.stop_job(ended.job, now_s)
        step = self._state.jobs.find_step(ended)
        # A member of a gang that runs without the others only holds room.
        if step is not None and step.spec.is_gang and step.waiting:
            self._state.stop_step(step, now_s)


def _get_checkpoint(step: StepState, position: int) -> str:
    # The value of any member counts for a gang, and all carry the same.
    if step.spec.is_gang:
        return next(iter(sorted(step.checkpoints.values())), '')
    return step.checkpoints.get(position, '')
