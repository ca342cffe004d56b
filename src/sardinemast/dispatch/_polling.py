"""Poll workers, renew their leases and process their reports."""

from itertools import starmap

from sardinemast.dispatch._contested_workers import (
    ContestedWorkers,
    is_silent,
)
from sardinemast.dispatch._cordons import end_cordon
from sardinemast.dispatch._events import (
    PollWorker,
    ThrottleRun,
    WorkerPolled,
    WorkerReport,
)
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._reconcile import (
    collect_new_ends,
    find_lost_runs,
    find_orphan_runs,
)
from sardinemast.dispatch._run_leases import list_running
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._throttling import BestEffortThrottle
from sardinemast.dispatch._worker_session import (
    MISDIRECTED_MAX_S,
    NumberedRun,
    WorkerSession,
)
from sardinemast.jobs import RunEnd, Worker
from sardinemast.jobs.commands import FinishedRun, ForgetWorker
from sardinemast.jobs.queries import has_pool

_MS = 1000


class WorkerPoller:
    """Keep a session with each worker and poll it while it has runs."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._forgetting: set[tuple[str, int]] = set()
        self._contested = ContestedWorkers(state)
        # Sessions with reported ends that are not recorded yet. Keeps the work
        # per event independent of the number of workers.
        self._sessions_with_ends: dict[str, WorkerSession] = {}
        # Above the fences of all sessions that were closed in this term.
        self._next_fence = 0
        self._closed_s: dict[str, float] = {}
        self._throttle = BestEffortThrottle()

    def start_term(self) -> None:
        """Discard the state of the previous term."""
        self._forgetting.clear()
        self._contested.start_term()
        self._sessions_with_ends.clear()
        self._next_fence = 0
        self._closed_s.clear()
        self._throttle = BestEffortThrottle()

    def sync_sessions(self, now_s: float) -> None:
        """Open, restart and close sessions to match the registered workers."""
        state = self._state
        for name in state.sessions.keys() - state.jobs.workers.keys():
            gone = state.sessions.pop(name)
            self._next_fence = max(self._next_fence, gone.fence + 1)
            self._closed_s[name] = now_s
            end_cordon(state, gone, 'worker gone', now_s)
            self._sessions_with_ends.pop(name, None)
            self._contested.drop(name)
        for worker in state.jobs.workers.values():
            session = state.sessions.get(worker.name)
            if session is None:
                state.sessions[worker.name] = self._open_session(worker, now_s)
                continue
            is_new = worker.boot_ms > session.worker.boot_ms
            if is_new and worker.boot_ms != session.boot_ms:
                self._restart(session, worker.boot_ms, now_s)
            session.worker = worker

    def contest(self, name: str, now_s: float) -> None:
        """Find out at once whether a worker is still there."""
        session = self._state.sessions.get(name)
        if session is not None and self._contested.contest(session, now_s):
            self.poll(session, now_s)

    def forget_without_pool(self) -> None:
        """Remove idle workers of pools that the catalog does not name."""
        for session in self._state.sessions.values():
            if has_pool(self._state.jobs, session.worker.pool):
                continue
            if not self._state.get_runs(session.worker.name):
                self.propose_forget(session)

    def expire_lease(self, session: WorkerSession, now_s: float) -> None:
        """Report all runs of a worker as lost once its lease has expired."""
        if now_s < session.lease_ends_s:
            return
        held = list_running(self._state, session, now_s)
        if not held:
            self._forget_if_silent(session, now_s)
            if self._contested.is_gone(session, now_s):
                self.propose_forget(session)
        runs = self._state.get_runs(session.worker.name)
        if len(runs) == len(held):
            return
        self._state.log(
            'worker.lease_ended',
            session.worker.name,
            runs=len(runs) - len(held),
            held=len(held),
            boot_ms=session.boot_ms,
            silent_s=round(now_s - session.last_heard_s, 3),
        )
        # The worker has stopped all runs by itself. Raising the fence voids
        # orders that it has not executed yet.
        for run in starmap(NumberedRun, runs.items()):
            if run not in held:
                self._state.record_end(FinishedRun(*run, RunEnd.lost))
        if session.is_synced:
            session.is_synced = False
            session.poll_state.must_raise_fence = True

    def poll(self, session: WorkerSession, now_s: float) -> None:
        """Send a poll to a worker if one is due."""
        if session.poll_state.is_pending or now_s < session.poll_state.due_s:
            return
        if not self._is_poll_needed(session, now_s):
            return
        # Until its ends are recorded, the worker would only repeat them.
        if session.end_cursor.reported > session.end_cursor.recorded:
            return
        is_raising = session.poll_state.must_raise_fence
        if is_raising:
            session.raise_fence()
        # The lease of a worker that does not answer is not renewed: each retry
        # would delay the restart of its tasks elsewhere.
        is_withheld = self._state.suspected.is_withheld(session.worker.name)
        is_responsive = (
            session.is_synced
            and not session.poll_state.misses
            and not is_withheld
        )
        # A poll that settles what became of a run returns at once.
        is_settling = (
            is_raising
            or bool(session.missing_runs)
            or session.contested_s is not None
        )
        may_wait = is_responsive and not is_settling
        wait_ms = self._get_wait_ms(session) if may_wait else 0
        session.poll_state.is_pending = True
        session.poll_state.sent_fence = session.fence
        self._state.outputs.append(
            PollWorker(
                session.worker,
                session.fence,
                session.end_cursor.send(
                    is_responsive=is_responsive and not is_raising
                ),
                session.extend_lease(now_s) if is_responsive else None,
                wait_ms,
                wait_ms / _MS + self._get_answer_s(is_withheld=is_withheld),
                now_s,
            ),
        )

    def handle_polled(
        self,
        session: WorkerSession,
        polled: WorkerPolled,
        now_s: float,
    ) -> list[FinishedRun]:
        """Process the result of a poll and return the ends that are new."""
        if polled.fence < session.poll_state.sent_fence:
            # A later poll has replaced this one.
            return []
        session.poll_state.is_pending = False
        answer = polled.answer
        ends: list[FinishedRun] = []
        if polled.outcome is OrderOutcome.gone:
            self.propose_forget(session)
        elif answer is None:
            self._record_miss(session, now_s)
            if is_silent(polled) and self._contested.is_gone(session, now_s):
                self.propose_forget(session)
        elif answer.boot_ms and answer.boot_ms != session.boot_ms:
            # The worker has restarted since the boot that this poll was sent
            # to, even if its boot time is earlier: its wall clock may have been
            # set back. Its capacity, labels, pool and state may be others now,
            # so it gets no runs until it announces them.
            self._restart(session, answer.boot_ms, now_s)
        elif session.is_earlier_clock(answer.clock_ms, polled.sent_s):
            # A restart that the boot time does not show.
            self._restart(session, session.boot_ms, now_s)
        else:
            ends = self._process_report(session, polled, now_s)
        session.poll_state.due_s = max(session.poll_state.due_s, now_s)
        if answer is not None and answer.has_unread_ends:
            # The worker lists them again at once, since none can be
            # acknowledged.
            session.poll_state.due_s = now_s + self._state.settings.retry_s
        self.poll(session, now_s)
        return ends

    def mark_ends_proposed(self) -> None:
        """Mark all reported ends as proposed for the log."""
        for session in self._sessions_with_ends.values():
            session.end_cursor.proposed = session.end_cursor.reported

    def acknowledge_ends(self, now_s: float) -> None:
        """Acknowledge recorded ends to the workers.

        Ends reported since the proposal are not acknowledged. If a worker
        dropped them and this process failed, their tasks would run again.
        """
        for name, session in tuple(self._sessions_with_ends.items()):
            if session.end_cursor.reported == session.end_cursor.proposed:
                self._sessions_with_ends.pop(name)
            if session.end_cursor.proposed > session.end_cursor.recorded:
                session.end_cursor.recorded = session.end_cursor.proposed
                self.poll(session, now_s)

    def propose_forget(self, session: WorkerSession) -> None:
        """Propose once to remove a worker whose boot has certainly ended."""
        boot_key = (session.worker.name, session.worker.boot_ms)
        if boot_key not in self._forgetting:
            self._forgetting.add(boot_key)
            runs = len(self._state.get_runs(boot_key[0]))
            self._state.log('worker.gone', boot_key[0], runs=runs)
            self._state.propose(ForgetWorker(*boot_key))

    def handle_forgotten(self, forgotten: ForgetWorker) -> None:
        """Handle the removal of a worker from the log."""
        self._forgetting.discard((forgotten.name, forgotten.boot_ms))

    def _open_session(self, worker: Worker, now_s: float) -> WorkerSession:
        state = self._state
        session = WorkerSession(
            worker, state.term, state.settings, state.earlier_leases_end_s
        )
        # A worker that was forgotten and registers again knows the fences of
        # its closed session and refuses lower ones. A higher one also voids
        # orders that were sent in it.
        session.fence = max(session.fence, self._next_fence)
        session.poll_state.sent_fence = session.fence
        closed_s = self._closed_s.pop(worker.name, state.started_s)
        session.has_earlier_orders = now_s < closed_s + MISDIRECTED_MAX_S
        # Otherwise a new worker would count as silent and be forgotten before
        # its first poll.
        session.last_announced_s = now_s
        return session

    def _restart(
        self, session: WorkerSession, boot_ms: int, now_s: float
    ) -> None:
        """Continue a session with a later boot, which is not cordoned yet."""
        name = session.worker.name
        self._state.log('worker.restarted', name, boot_ms=boot_ms)
        end_cordon(self._state, session, 'worker restarted', now_s)
        session.restart(boot_ms, now_s)

    def _forget_if_silent(self, session: WorkerSession, now_s: float) -> None:
        silence_s = now_s - max(session.last_heard_s, session.last_announced_s)
        have_earlier_leases_ended = now_s > self._state.earlier_leases_end_s
        if (
            silence_s > self._state.settings.forget_s
            and have_earlier_leases_ended
        ):
            self.propose_forget(session)

    def _is_poll_needed(self, session: WorkerSession, now_s: float) -> bool:
        name = session.worker.name
        return (
            not session.is_synced
            or session.poll_state.must_raise_fence
            or session.contested_s is not None
            or session.needs_clock(now_s)
            or bool(session.reported_runs)
            or bool(self._state.get_runs(name))
            or self._state.suspected.is_withheld(name)
        )

    def _get_answer_s(self, *, is_withheld: bool) -> float:
        settings = self._state.settings
        # Such a poll does not wait, so it is answered as soon as a start.
        return settings.start_answer_s if is_withheld else settings.answer_s

    def _get_wait_ms(self, session: WorkerSession) -> int:
        name = session.worker.name
        usage = self._state.jobs.usage
        has_interference = (
            usage.best_effort_counts[name]
            and usage.latency_sensitive_counts[name]
        )
        settings = self._state.settings
        return settings.watch_ms if has_interference else settings.wait_ms

    def _record_miss(self, session: WorkerSession, now_s: float) -> None:
        session.poll_state.misses += 1
        if session.poll_state.misses == 1:
            silence_s = round(now_s - session.last_heard_s, 3)
            name = session.worker.name
            self._state.log('worker.silent', name, heard_ago_s=silence_s)
        settings = self._state.settings
        wait_s = settings.retry_s * session.poll_state.misses
        session.poll_state.due_s = now_s + min(wait_s, settings.retry_max_s)

    def _process_report(
        self,
        session: WorkerSession,
        polled: WorkerPolled,
        now_s: float,
    ) -> list[FinishedRun]:
        answer = polled.answer
        if answer is None or polled.fence < session.fence:
            return []
        session.record_report(answer.clock_ms, now_s, self._state.now_ms)
        self._contested.record_answer(session)
        if not session.is_synced:
            self._state.needs_planning = True
            runs = len(answer.running)
            name = session.worker.name
            self._state.log(
                'worker.heard',
                name,
                runs=runs,
                boot_ms=answer.boot_ms,
                clock_ms=answer.clock_ms,
            )
        session.is_synced = session.has_clock
        ends = collect_new_ends(session, answer)
        if session.end_cursor.reported > session.end_cursor.recorded:
            self._sessions_with_ends[session.worker.name] = session
        for finished_run in ends:
            self._state.record_end(finished_run)
        self._record_lost_runs(session, polled, answer, ends)
        session.reported_runs = {one.task: one for one in answer.running}
        for orphan in find_orphan_runs(self._state.jobs, session):
            self._state.stop_run(session, orphan.task, orphan.number, now_s)
        self._throttle_runs(session, now_s)
        self._forget_later_boot(session)
        return ends

    def _forget_later_boot(self, session: WorkerSession) -> None:
        """Forget a worker whose current boot could not be registered.

        An announcement with an earlier boot time than the registered one counts
        as outdated.
        """
        runs = self._state.get_runs(session.worker.name)
        if session.boot_ms < session.worker.boot_ms and not runs:
            self.propose_forget(session)

    def _record_lost_runs(
        self,
        session: WorkerSession,
        polled: WorkerPolled,
        report: WorkerReport,
        ends: list[FinishedRun],
    ) -> None:
        state = self._state
        lost_runs = find_lost_runs(
            state.jobs,
            session,
            polled,
            report,
            ends,
            state.pending_ends,
        )
        for run in sorted(lost_runs):
            state.record_end(FinishedRun(run.task, run.number, RunEnd.lost))
            state.log(
                'run.lost',
                str(run.task),
                run=run.number,
                worker=polled.worker,
                fence=polled.fence,
            )

    def _throttle_runs(self, session: WorkerSession, now_s: float) -> None:
        state = self._state
        self._throttle.update(state.jobs, session, now_s)
        name = session.worker.name
        for change in self._throttle.list_changes(state.jobs, session):
            task, number, percent = change
            self._throttle.record_sent(name, task, number, percent)
            state.outputs.append(
                ThrottleRun(
                    session.worker,
                    task,
                    number,
                    session.fence,
                    percent,
                    state.settings.answer_s,
                ),
            )
