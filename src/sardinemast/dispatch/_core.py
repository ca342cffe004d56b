"""Decide what the leader orders of workers, without input or output."""

from collections import defaultdict
from collections.abc import Iterator

from sardinemast import jobs
from sardinemast.dispatch._contact import Contact, SentStart
from sardinemast.dispatch._events import (
    DispatchEvent,
    DispatchOutput,
    LookAtWorker,
    OrderOutcome,
    PaceRun,
    Propose,
    RunAnswered,
    StartRun,
    StopRun,
    WorkerLooked,
)
from sardinemast.dispatch._order import get_order
from sardinemast.dispatch._pacing import Pacing, has_fillers, has_servers
from sardinemast.dispatch._planner import Planner, Standing
from sardinemast.dispatch._reconcile import (
    collect_ends,
    find_lost,
    find_orphans,
)
from sardinemast.dispatch._settings import DispatchSettings
from sardinemast.jobs import JobsState, RunEnd, StepState, TaskKey
from sardinemast.jobs.commands import (
    CancelJob,
    RegisterWorker,
    ForgetWorker,
    OpenOccurrence,
    RecordRuns,
    RunOver,
    RunStart,
)

_MS = 1000
# Room that a worker refuses is told by its next look, well within this.
_AVOID_REFUSED_S = 0.3
# One that answers with an error is tried again at this rate.
_AVOID_UNHEALTHY_S = 1.5
# What time alone changes (who is heard, who is avoided) waits this long.
_PLAN_AGAIN_S = 0.1


class Dispatcher:
    """Lead the workers: look, start, stop and pace while this term lasts.

    Ends and starts are gathered: one command with all of them is on its way
    through the log at a time, so that a start needs no entry of its own.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._state = JobsState()
        self._settings = settings
        self._outputs: list[DispatchOutput] = []
        self._term = 0
        self._over_at_s: float = 0
        self.contacts: dict[str, Contact] = {}
        self._ends: dict[TaskKey, RunOver] = {}
        self._recording: RecordRuns | None = None
        self._failed_at: dict[TaskKey, set[str]] = defaultdict(set)
        self._leaving: set[tuple[str, int]] = set()
        self._opening: set[tuple[str, int]] = set()
        self._pacing = Pacing()
        self._is_changed = True
        self._planned_s: float = 0

    def start_term(self, state: JobsState, term: int, now_s: float) -> None:
        """Lead the workers from now on, knowing nothing but the log.

        The leader before may have prolonged a lease right until its own
        ended, which it has by now.
        """
        settings = self._settings
        lease_s = settings.lease_ms / _MS / (1 - settings.drift)
        self._state = state
        self._term = term
        self._over_at_s = now_s + lease_s + settings.margin_s
        self.contacts.clear()
        self._ends.clear()
        self._recording = None
        self._failed_at.clear()
        self._leaving.clear()
        self._opening.clear()
        self._pacing = Pacing()

    def tick(self, now_s: float, now_ms: int) -> list[DispatchOutput]:
        """Do what time has made due."""
        self._outputs = []
        self._follow_workers(now_s)
        self._open_due(now_ms)
        for contact in tuple(self.contacts.values()):
            self._check_lease(contact, now_s)
            self._look(contact, now_s)
        self._record(now_s, now_ms)
        return self._outputs

    def step(
        self,
        event: DispatchEvent,
        now_s: float,
        now_ms: int,
    ) -> list[DispatchOutput]:
        """Take an answer of a worker."""
        self._outputs = []
        contact = self.contacts.get(event.worker)
        if contact is None:
            return []
        if isinstance(event, WorkerLooked):
            self._take_look(contact, event, now_s)
        else:
            self._take_start(contact, event, now_s)
        self._record(now_s, now_ms)
        return self._outputs

    def note_applied(
        self,
        command: jobs.Command,
        now_s: float,
        now_ms: int,
    ) -> list[DispatchOutput]:
        """Go on after a command of the log was applied, in this term."""
        self._outputs = []
        self._is_changed = True
        if isinstance(command, RecordRuns):
            self._note_recorded(command, now_s)
        elif isinstance(command, CancelJob):
            self._stop_job(command.name, now_s)
        elif isinstance(command, ForgetWorker):
            self._leaving.discard((command.name, command.boot_ms))
        elif isinstance(command, OpenOccurrence):
            self._opening.discard((command.job, command.occurrence))
        elif isinstance(command, RegisterWorker):
            self._follow_workers(now_s)
        self._record(now_s, now_ms)
        return self._outputs

    def note_announced(self, worker: str, now_s: float) -> None:
        """Note that a worker has announced itself."""
        contact = self.contacts.get(worker)
        if contact is not None:
            contact.announced_s = now_s
            contact.is_leaving = False

    def note_leaving(self, worker: str, now_s: float) -> None:
        """Note that a worker has said that it ends now."""
        contact = self.contacts.get(worker)
        if contact is not None:
            contact.is_leaving = True
            contact.look_due_s = now_s

    def _follow_workers(self, now_s: float) -> None:
        for name in self.contacts.keys() - self._state.workers.keys():
            self.contacts.pop(name)
        for worker in self._state.workers.values():
            contact = self.contacts.get(worker.name)
            if contact is None:
                self.contacts[worker.name] = Contact(
                    worker,
                    self._term,
                    self._settings,
                    self._over_at_s,
                )
            elif worker.boot_ms > contact.worker.boot_ms:
                contact.restart(worker, now_s)
            elif worker.boot_ms == contact.worker.boot_ms:
                contact.worker = worker

    def _open_due(self, now_ms: int) -> None:
        for job in self._state.live.values():
            request = job.request
            place = len(job.steps)
            due_ms = request.first_due_ms + place * request.interval_ms
            if place < request.occurrences and now_ms >= due_ms:
                if (job.name, place) not in self._opening:
                    self._opening.add((job.name, place))
                    self._propose(OpenOccurrence(job.name, place))

    def _propose(self, command: jobs.Command) -> None:
        self._outputs.append(Propose(command))

    # Looks and leases.

    def _check_lease(self, contact: Contact, now_s: float) -> None:
        name = contact.worker.name
        runs = self._state.runs.get(name)
        if now_s < contact.over_at_s:
            return
        self._forget_silent(contact, now_s)
        if not runs:
            return
        # The worker has killed everything by itself; what it was told and
        # has not carried out yet is void under a higher fence.
        for task, number in runs.items():
            self._note_end(RunOver(task, number, RunEnd.lost))
        if contact.is_synced:
            contact.is_synced = False
            contact.has_doubt = True

    def _forget_silent(self, contact: Contact, now_s: float) -> None:
        quiet_s = now_s - max(contact.heard_s, contact.announced_s)
        if quiet_s > self._settings.forget_s and now_s > self._over_at_s:
            self._let_go(contact)

    def _let_go(self, contact: Contact) -> None:
        gone = (contact.worker.name, contact.worker.boot_ms)
        if gone not in self._leaving:
            self._leaving.add(gone)
            self._propose(ForgetWorker(*gone))

    def _look(self, contact: Contact, now_s: float) -> None:
        if contact.is_looking or now_s < contact.look_due_s:
            return
        has_runs = bool(self._state.runs.get(contact.worker.name))
        is_needed = has_runs or bool(contact.listed) or contact.is_leaving
        if contact.is_synced and not is_needed and not contact.has_doubt:
            return
        if contact.noted > contact.seen:
            return
        if contact.has_doubt:
            contact.raise_fence()
        settings = self._settings
        wait_ms = self._get_wait_ms(contact) if contact.is_synced else 0
        contact.is_looking = True
        self._outputs.append(
            LookAtWorker(
                contact.worker,
                contact.fence,
                contact.seen,
                contact.grant(now_s) if contact.is_synced else None,
                wait_ms,
                wait_ms / _MS + settings.answer_s,
                now_s,
            ),
        )

    def _get_wait_ms(self, contact: Contact) -> int:
        tasks = contact.listed.keys()
        is_watched = has_fillers(self._state, iter(tasks)) and has_servers(
            self._state,
            iter(tasks),
        )
        settings = self._settings
        return settings.watch_ms if is_watched else settings.wait_ms

    def _take_look(
        self,
        contact: Contact,
        looked: WorkerLooked,
        now_s: float,
    ) -> None:
        contact.is_looking = False
        answer = looked.answer
        if looked.outcome is OrderOutcome.gone:
            self._let_go(contact)
        elif answer is None:
            self._note_miss(contact, looked, now_s)
        elif answer.boot_ms > contact.worker.boot_ms:
            # It started again and nobody has said so yet.
            worker = contact.worker._replace(boot_ms=answer.boot_ms)
            contact.restart(worker, now_s)
            self._propose(RegisterWorker(worker))
        elif not answer.boot_ms or answer.boot_ms == contact.worker.boot_ms:
            self._take_lists(contact, looked, now_s)
        contact.look_due_s = max(contact.look_due_s, now_s)
        self._look(contact, now_s)

    def _note_miss(
        self,
        contact: Contact,
        looked: WorkerLooked,
        now_s: float,
    ) -> None:
        contact.misses += 1
        settings = self._settings
        is_refused = looked.outcome is OrderOutcome.not_sent
        if is_refused and contact.is_leaving:
            self._let_go(contact)
        wait_s = settings.retry_s * contact.misses
        contact.look_due_s = now_s + min(wait_s, settings.retry_max_s)

    def _take_lists(
        self,
        contact: Contact,
        looked: WorkerLooked,
        now_s: float,
    ) -> None:
        answer = looked.answer
        if answer is None or looked.fence < contact.fence:
            return
        contact.note_clock(answer.clock_ms, now_s)
        contact.heard_s = now_s
        contact.misses = 0
        if not contact.is_synced:
            self._is_changed = True
        contact.is_synced = contact.has_clock
        contact.listed = {one.task: one for one in answer.running}
        for over in collect_ends(contact, looked):
            self._note_end(over, contact.worker.name)
        ending = set(self._ends)
        for lost in find_lost(self._state, contact, looked, ending):
            self._note_end(lost)
        for orphan in find_orphans(self._state, contact):
            self._stop(contact, orphan.task, orphan.number, now_s)
        self._pacing.note_look(self._state, contact, now_s)
        self._pace(contact)

    # Ends and starts.

    def _note_end(self, over: RunOver, worker: str = '') -> None:
        step = self._state.find_step(over.task)
        run = step.running.get(over.task.index) if step else None
        if run is None or run.number != over.number:
            return
        self._ends[over.task] = over
        if over.end is RunEnd.failed and worker:
            self._failed_at[over.task].add(worker)

    def _record(self, now_s: float, now_ms: int) -> None:
        if self._recording is not None:
            return
        starts = self._plan(now_s, now_ms)
        if self._ends or starts:
            ends = tuple(self._ends.values())
            self._ends.clear()
            self._recording = RecordRuns(ends, starts)
            self._propose(self._recording)
            return
        self._take_note(now_s)

    def _take_note(self, now_s: float) -> None:
        # All ends that were noted so far are recorded, or meant nothing.
        for contact in self.contacts.values():
            if contact.noted > contact.seen:
                contact.seen = contact.noted
                self._look(contact, now_s)

    def _plan(self, now_s: float, now_ms: int) -> tuple[RunStart, ...]:
        state = self._state
        is_due = self._is_changed or now_s >= self._planned_s + _PLAN_AGAIN_S
        if not state.ready or not is_due:
            return ()
        self._is_changed = False
        self._planned_s = now_s

        def order(step: StepState) -> tuple[float, ...]:
            return get_order(state.jobs[step.key.job], step, now_ms)

        return Planner(
            state,
            self._list_standings(now_s),
            order,
            self._is_avoided,
        ).choose()

    def _list_standings(self, now_s: float) -> Iterator[Standing]:
        for name, contact in self.contacts.items():
            tasks = self._state.runs.get(name, {})
            if contact.is_usable(now_s, has_runs=bool(tasks)):
                yield Standing(
                    contact.worker,
                    has_servers(self._state, iter(tasks)),
                    has_fillers(self._state, iter(tasks)),
                )

    def _is_avoided(self, task: TaskKey, worker: str) -> bool:
        return worker in self._failed_at.get(task, ())

    def _note_recorded(self, command: RecordRuns, now_s: float) -> None:
        if command != self._recording:
            return
        self._recording = None
        self._take_note(now_s)
        for start in command.starts:
            step = self._state.find_step(start.task)
            run = step.running.get(start.task.index) if step else None
            if step and run == (start.number, start.worker):
                self._send_start(step, start, now_s)
        for over in command.ends:
            self._stop_rest(over.task, now_s)

    def _send_start(
        self,
        step: StepState,
        start: RunStart,
        now_s: float,
    ) -> None:
        contact = self.contacts.get(start.worker)
        if contact is None or not contact.is_synced:
            # It was lost since; the log's run ends by the next look.
            self._note_end(RunOver(start.task, start.number, RunEnd.lost))
            return
        contact.sent[start.task] = SentStart(start.number, contact.fence)
        self._outputs.append(
            StartRun(
                contact.worker,
                start.task,
                start.number,
                contact.fence,
                contact.grant(now_s),
                self._state.jobs[start.task.job].request.spec,
                _get_checkpoint(step, start.task.index),
                self._settings.answer_s,
            ),
        )

    def _take_start(
        self,
        contact: Contact,
        answered: RunAnswered,
        now_s: float,
    ) -> None:
        sent = contact.sent.get(answered.task)
        if sent is None or sent.number != answered.number:
            return
        contact.note_clock(answered.clock_ms, now_s)
        if answered.outcome is OrderOutcome.done:
            contact.sent[answered.task] = sent._replace(confirmed_s=now_s)
            contact.heard_s = now_s
            self._look(contact, now_s)
        elif answered.outcome is OrderOutcome.unknown:
            contact.has_doubt = True
            contact.avoid_until_s = now_s + _AVOID_UNHEALTHY_S
            self._look(contact, now_s)
        else:
            self._take_refusal(contact, answered, now_s)

    def _take_refusal(
        self,
        contact: Contact,
        answered: RunAnswered,
        now_s: float,
    ) -> None:
        contact.sent.pop(answered.task)
        lost = RunOver(answered.task, answered.number, RunEnd.lost)
        self._note_end(lost)
        if answered.outcome is OrderOutcome.gone:
            self._let_go(contact)
        avoid_s = _AVOID_UNHEALTHY_S
        if answered.reason:
            avoid_s = _AVOID_REFUSED_S
        contact.avoid_until_s = now_s + avoid_s

    # Stops and paces.

    def _stop_rest(self, ended: TaskKey, now_s: float) -> None:
        self._stop_job(ended.job, now_s)
        step = self._state.find_step(ended)
        # A member of a gang that runs without the others only holds room.
        if step is not None and step.step.is_gang and step.waiting:
            self._stop_step(step, now_s)

    def _stop_job(self, job_name: str, now_s: float) -> None:
        job = self._state.jobs.get(job_name)
        if job is not None and job.is_over:
            for step in job.iterate_steps():
                self._stop_step(step, now_s)

    def _stop_step(self, step: StepState, now_s: float) -> None:
        for index, run in step.running.items():
            contact = self.contacts.get(run.worker)
            if contact is not None:
                task = step.get_task(index)
                self._stop(contact, task, run.number, now_s)

    def _stop(
        self,
        contact: Contact,
        task: TaskKey,
        number: int,
        now_s: float,
    ) -> None:
        again_s = self._settings.stop_again_s
        if now_s < contact.stopping_s.get(task, float('-inf')) + again_s:
            return
        contact.stopping_s[task] = now_s
        self._outputs.append(
            StopRun(
                contact.worker,
                task,
                number,
                contact.fence,
                self._settings.answer_s,
            ),
        )

    def _pace(self, contact: Contact) -> None:
        for task, number, percent in self._pacing.choose(
            self._state,
            contact,
        ):
            name = contact.worker.name
            self._pacing.note_sent(name, task, number, percent)
            self._outputs.append(
                PaceRun(
                    contact.worker,
                    task,
                    number,
                    contact.fence,
                    percent,
                    self._settings.answer_s,
                ),
            )


def _get_checkpoint(step: StepState, index: int) -> str:
    # The value of any member counts for a gang, and all carry the same.
    if step.step.is_gang:
        return next(iter(sorted(step.checkpoints.values())), '')
    return step.checkpoints.get(index, '')
