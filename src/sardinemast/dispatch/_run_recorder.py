"""Record starts and ends of runs in the log, then send the starts."""

from collections import defaultdict
from functools import cache

from sardinemast.dispatch._events import (
    TICKET_REASON,
    StartAnswered,
    StartRun,
)
from sardinemast.dispatch._instance_records import RUNS_ON_PROBATION
from sardinemast.dispatch._long_running_waits import LongRunningWaits
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._plan_shares import PlanShares, PlanTime
from sardinemast.dispatch._planner import Planner
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._step_facts import StepFactsCache
from sardinemast.dispatch._step_priority import get_step_priority
from sardinemast.dispatch._tickets import TicketCache
from sardinemast.dispatch._worker_session import SentStart, WorkerSession
from sardinemast.jobs import RunEnd, StepKey, StepState, TaskKey, Worker
from sardinemast.jobs.commands import FinishedRun, RecordRuns, RunStart

# Backoff after a refused start; by then a report shows what the worker runs.
_AVOID_REFUSED_S = 0.3
# Backoff after an error or a missing answer.
_AVOID_UNHEALTHY_S = 1.5
# Consecutive failures that count against the worker and not the tasks: a few in
# a hundred tasks fail by their own fault.
_FAILURES_TO_AVOID = 2
_AVOID_FAILING_S = 1.0
_DOUBLINGS_MAX = 4
# Workers become usable or unusable over time, so plans are made regularly.
_PLAN_INTERVAL_S = 0.1
# A long-running task that has waited for this long may start on a worker that
# is withheld only as a precaution.
_LAST_RESORT_AFTER_S = 2.5


class RunRecorder:
    """Record starts and ends of runs in batches and send recorded starts.

    At most one command is in flight. Starts and ends that accumulate
    meanwhile share the next one, which keeps the log short.
    """

    def __init__(
        self,
        state: DispatchState,
        tickets: TicketCache,
        waits: LongRunningWaits,
    ) -> None:
        self._state = state
        self._tickets = tickets
        self._waits = waits
        self._recording: RecordRuns | None = None
        self._failed_workers: dict[TaskKey, set[str]] = defaultdict(set)
        self._last_planned_s: float = 0
        self._step_facts = StepFactsCache()

    def start_term(self) -> None:
        """Discard the state of the previous term."""
        self._recording = None
        self._failed_workers.clear()

    def record_ends(
        self,
        session: WorkerSession,
        ends: list[FinishedRun],
        now_s: float,
    ) -> None:
        """Track failures by task and worker, and back off failing workers.

        A worker that fails all its runs always has free capacity. Without a
        backoff it would use up the attempts of one task after the other.
        """
        instance = session.worker.instance
        records = self._state.instance_records
        has_failed = False
        for finished_run in ends:
            if finished_run.end is RunEnd.done:
                records.record_success(instance)
                session.backoff.failures = 0
                has_failed = False
            elif finished_run.end is RunEnd.failed:
                records.record_failure(
                    instance, finished_run.task, self._state.now_ms
                )
                if self._is_worker_at_fault(session, finished_run.task):
                    session.backoff.failures += 1
                    has_failed = True
                self._failed_workers[finished_run.task].add(session.worker.name)
        # Called for each report; one without a new failure must not extend the
        # backoff, since long-running tasks never end it by succeeding.
        if has_failed and session.backoff.failures >= _FAILURES_TO_AVOID:
            self._avoid_failing(session, now_s)

    @property
    def is_recording(self) -> bool:
        """Check whether a proposed command is not recorded yet."""
        return self._recording is not None

    def propose_due(self, now_s: float, now_ms: int) -> None:
        """Propose pending ends and newly planned starts, if there are any."""
        starts = self._plan(now_s, now_ms)
        ends = tuple(self._state.pending_ends.values())
        if ends or starts:
            self._state.pending_ends.clear()
            self._recording = RecordRuns(ends, starts)
            self._state.propose(self._recording)

    def handle_recorded(self, command: RecordRuns, now_s: float) -> bool:
        """Send recorded starts and return whether the command was pending."""
        if command != self._recording:
            return False
        self._recording = None
        for start in command.starts:
            self._waits.record_start(start.task)
            step = self._state.jobs.find_step(start.task)
            run = step.running.get(start.task.position) if step else None
            if step and run == (start.number, start.worker):
                self._send_start(step, start, now_s)
        for finished_run in command.ends:
            self._state.log(
                'run.ended',
                str(finished_run.task),
                run=finished_run.number,
                result=finished_run.end.value,
            )
            self._stop_leftover_runs(finished_run.task, now_s)
        return True

    def handle_answer(
        self,
        session: WorkerSession,
        event: StartAnswered,
        now_s: float,
    ) -> None:
        """Handle a worker's answer to a start."""
        sent_start = session.sent_starts.get(event.task)
        if sent_start is None or sent_start.number != event.number:
            return
        if 0 < event.clock_ms < sent_start.least_clock_ms:
            # A later boot has answered; a poll finds out about it.
            session.is_synced = False
            session.poll_state.replace_pending()
        if event.outcome is not OrderOutcome.done:
            self._state.log(
                'run.not_started',
                str(event.task),
                run=event.number,
                worker=event.worker,
                outcome=event.outcome.value,
                reason=event.reason,
            )
        if event.outcome is OrderOutcome.done:
            self._confirm(session, sent_start, event, now_s)
        elif event.outcome is OrderOutcome.unknown:
            session.poll_state.replace_pending()
            session.backoff.until_s = now_s + _AVOID_UNHEALTHY_S
        else:
            session.sent_starts.pop(event.task)
            lost_run = FinishedRun(event.task, event.number, RunEnd.lost)
            self._state.record_end(lost_run)
            if event.reason == TICKET_REASON:
                step_key = StepKey(*event.task[:-1])
                self._tickets.discard(step_key, event.worker)
                return
            avoid_s = _AVOID_UNHEALTHY_S
            if event.reason:
                avoid_s = _AVOID_REFUSED_S
            session.backoff.until_s = now_s + avoid_s

    def is_allowed(
        self,
        step: StepState,
        worker: Worker,
        now_s: float,
        planned_count: int = 0,
    ) -> bool:
        """Check whether a step may start on a usable worker that fits it.

        ``planned_count`` is the number of starts planned there.
        """
        if self._state.is_held(step, worker):
            return False
        if not step.spec.is_long_running:
            records = self._state.instance_records
            is_limited = worker.instance in records.on_probation
            if is_limited and not self._has_quota(worker, planned_count):
                return False
        return self._tickets.is_allowed(step, worker, now_s)

    def _is_worker_at_fault(
        self, session: WorkerSession, task: TaskKey
    ) -> bool:
        failed_workers = self._failed_workers[task]
        # A task that also failed elsewhere is likely at fault itself.
        if failed_workers - {session.worker.name}:
            return False
        step = self._state.jobs.find_step(task)
        # A long-running task has no limit of attempts that ends its failures.
        is_long_running = step is not None and step.spec.is_long_running
        return is_long_running or not failed_workers

    def _avoid_failing(self, session: WorkerSession, now_s: float) -> None:
        doublings = min(
            session.backoff.failures - _FAILURES_TO_AVOID, _DOUBLINGS_MAX
        )
        avoid_s = _AVOID_FAILING_S * 2**doublings
        session.backoff.until_s = now_s + avoid_s
        self._state.log(
            'worker.avoided',
            session.worker.name,
            failures=session.backoff.failures,
            avoid_s=avoid_s,
        )

    def _plan(self, now_s: float, now_ms: int) -> tuple[RunStart, ...]:
        state = self._state
        next_plan_s = self._last_planned_s + _PLAN_INTERVAL_S
        is_due = state.needs_planning or now_s >= next_plan_s
        if not state.jobs.ready or not is_due:
            return ()
        state.needs_planning = False
        self._last_planned_s = now_s
        if not any(step.waiting for step in state.jobs.ready.values()):
            return ()

        failing_tasks = state.failing_tasks

        def is_failing(step: StepState) -> bool:
            return step.key.job in failing_tasks.held

        def order(step: StepState) -> tuple[float, ...]:
            return get_step_priority(
                state.jobs.get_job(step),
                step,
                state.durations,
                now_ms,
                is_failing=is_failing(step),
            )

        def is_allowed(step: StepState, worker: Worker, planned: int) -> bool:
            return self.is_allowed(step, worker, now_s, planned)

        @cache
        def is_usable(name: str) -> bool:
            return self._is_usable(name, now_s)

        self._tickets.request_tickets(is_usable, now_s, now_ms)
        shares: PlanShares | None = None
        if state.settings.team_shares.enabled:
            shares = PlanShares(
                state.jobs,
                PlanTime(state.durations, now_ms),
                is_usable,
                self._step_facts,
                state.settings.team_shares,
                is_failing,
            )
        planner = Planner(
            state.jobs,
            is_usable,
            order,
            self._is_avoided,
            is_allowed,
            shares,
            failing_tasks.list_held_back(state.jobs, now_s),
        )
        starts = planner.choose()
        stranded = self._waits.list_waiting(now_s, _LAST_RESORT_AFTER_S)
        if stranded:
            starts = planner.add_starts(
                stranded,
                lambda name: self._is_usable(name, now_s, is_last_resort=True),
            )
        if shares is not None:
            self._record_shares(shares)
        return starts

    def _record_shares(self, shares: PlanShares) -> None:
        """Keep the last shares of pools that are full, for metrics."""
        last = self._state.team_shares
        kept = {pool: last[pool] for pool in shares.full_pools & last.keys()}
        self._state.team_shares = {**kept, **shares.get_shares()}

    def _is_usable(
        self, name: str, now_s: float, *, is_last_resort: bool = False
    ) -> bool:
        session = self._state.sessions.get(name)
        return session is not None and self._state.is_usable(
            session, now_s, is_last_resort=is_last_resort
        )

    def _is_avoided(self, task: TaskKey, worker: str) -> bool:
        return worker in self._failed_workers.get(task, ())

    def _has_quota(self, worker: Worker, planned_count: int) -> bool:
        """Check whether a worker on probation may get one more planned run.

        Long-running tasks are not limited and do not count, since they do not
        end.
        """
        run_count = sum(
            not step.spec.is_long_running
            for _, _, step in self._state.iterate_steps_on(worker.name)
        )
        return run_count + planned_count < RUNS_ON_PROBATION

    def _may_send(self, session: WorkerSession) -> bool:
        """Check whether a recorded start may be sent.

        The worker or its rack may have been lost, its data centre evacuated,
        its instance ordered away, or a later boot found, while the start was
        being recorded.
        """
        if session.cordon is not None and session.cordon.is_binding:
            return False
        if self._state.suspected.is_withheld(session.worker.name):
            return False
        if not (session.is_synced and session.is_announced):
            return False
        if session.contested_s is not None:
            return False
        return not self._state.is_evacuated(session.worker)

    def _send_start(
        self, step: StepState, start: RunStart, now_s: float
    ) -> None:
        session = self._state.sessions.get(start.worker)
        if session is None or not self._may_send(session):
            lost_run = FinishedRun(start.task, start.number, RunEnd.lost)
            self._state.record_end(lost_run)
            return
        expires_ms = session.extend_lease(now_s)
        self._state.log(
            'run.started',
            str(start.task),
            run=start.number,
            worker=start.worker,
            boot_ms=session.boot_ms,
            fence=session.fence,
            expires_ms=expires_ms,
        )
        self._state.starts_in_flight.record_sent(
            start.task, start.number, start.worker, now_s
        )
        session.sent_starts[start.task] = SentStart(
            start.number,
            session.fence,
            None,
            now_s,
            expires_ms - self._state.settings.lease_ms,
        )
        self._state.outputs.append(
            StartRun(
                session.worker,
                start.task,
                start.number,
                session.fence,
                expires_ms,
                self._state.jobs.get_job(step).request.spec,
                _get_checkpoint(step, start.task.position),
                self._state.settings.start_answer_s,
                self._tickets.get_ticket(step, session.worker, now_s),
            ),
        )

    def _confirm(
        self,
        session: WorkerSession,
        sent_start: SentStart,
        event: StartAnswered,
        now_s: float,
    ) -> None:
        """Record that a start was executed, by this boot or a later one."""
        session.sent_starts[event.task] = sent_start._replace(
            confirmed_s=now_s,
            is_settled=sent_start.is_continued(event.clock_ms),
        )
        session.last_heard_s = now_s

    def _stop_leftover_runs(self, finished_task: TaskKey, now_s: float) -> None:
        self._state.stop_job(finished_task.job, now_s)
        step = self._state.jobs.find_step(finished_task)
        # Members of a gang make no progress without the others.
        if step is not None and step.spec.is_gang and step.waiting:
            self._state.stop_step(step, now_s)


def _get_checkpoint(step: StepState, position: int) -> str:
    # A gang resumes from one checkpoint, which all members get.
    if step.spec.is_gang:
        return next(iter(sorted(step.checkpoints.values())), '')
    return step.checkpoints.get(position, '')
