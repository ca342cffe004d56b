"""Looks at workers: leases, lists, and workers that come and go."""

from sardinemast.dispatch._events import (
    PollWorker,
    ThrottleRun,
    WorkerPolled,
)
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._reconcile import (
    collect_ends,
    find_lost,
    find_orphans,
)
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._throttling import Pacing
from sardinemast.dispatch._worker_session import Contact
from sardinemast.jobs import RunEnd
from sardinemast.jobs.commands import FinishedRun, ForgetWorker, RegisterWorker

_MS = 1000


class Looks:
    """Keep workers' leases and learn what they run and what has ended."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._leaving: set[tuple[str, int]] = set()
        # Those whose ends are not all recorded; all others need no look at
        # each event, of which there are several for each start.
        self._telling: dict[str, Contact] = {}
        self._pacing = Pacing()

    def start_term(self) -> None:
        """Forget what was under way in a former term."""
        self._leaving.clear()
        self._telling.clear()
        self._pacing = Pacing()

    def follow_workers(self, now_s: float) -> None:
        """Have a contact for each boot of a worker that the log knows."""
        state = self._state
        for name in state.contacts.keys() - state.jobs.workers.keys():
            state.contacts.pop(name)
            self._telling.pop(name, None)
        for worker in state.jobs.workers.values():
            contact = state.contacts.get(worker.name)
            if contact is None:
                contact = Contact(
                    worker,
                    state.term,
                    state.settings,
                    state.over_at_s,
                )
                # Its silence counts from here, or it would be forgotten
                # between its first word and the first look.
                contact.announced_s = now_s
                state.contacts[worker.name] = contact
            elif worker.boot_ms > contact.worker.boot_ms:
                contact.restart(worker, now_s)
            elif worker.boot_ms == contact.worker.boot_ms:
                contact.worker = worker

    def check_lease(self, contact: Contact, now_s: float) -> None:
        """End the runs of a worker whose lease has surely ended."""
        if now_s < contact.over_at_s:
            return
        self._forget_silent(contact, now_s)
        runs = self._state.get_runs(contact.worker.name)
        if not runs:
            return
        self._state.log(
            'worker.lease_ended',
            contact.worker.name,
            runs=len(runs),
            silent_s=round(now_s - contact.heard_s, 3),
        )
        # The worker has killed everything by itself; what it was told and
        # has not carried out yet is void under a higher fence.
        for task, number in runs.items():
            self._state.note_end(FinishedRun(task, number, RunEnd.lost))
        if contact.is_synced:
            contact.is_synced = False
            contact.looks.has_doubt = True

    def look(self, contact: Contact, now_s: float) -> None:
        """Look at a worker where that is due."""
        if contact.looks.is_sent or now_s < contact.looks.due_s:
            return
        has_runs = bool(self._state.get_runs(contact.worker.name))
        is_needed = has_runs or bool(contact.listed)
        if contact.is_synced and not is_needed and not contact.looks.has_doubt:
            return
        # Asked before its ends are recorded, it would only list them again.
        if contact.ends.noted > contact.ends.seen:
            return
        if contact.looks.has_doubt:
            contact.raise_fence()
        # A worker that does not answer must not get more time: each try would
        # put off the moment at which its tasks may start elsewhere.
        is_heard = contact.is_synced and not contact.looks.misses
        wait_ms = self._get_wait_ms(contact) if is_heard else 0
        contact.looks.is_sent = True
        self._state.outputs.append(
            PollWorker(
                contact.worker,
                contact.fence,
                contact.ends.seen,
                contact.grant(now_s) if is_heard else None,
                wait_ms,
                wait_ms / _MS + self._state.settings.answer_s,
                now_s,
            ),
        )

    def take(
        self,
        contact: Contact,
        looked: WorkerPolled,
        now_s: float,
    ) -> list[FinishedRun]:
        """Take the answer to a look, and give the ends that it told."""
        contact.looks.is_sent = False
        answer = looked.answer
        ends: list[FinishedRun] = []
        if looked.outcome is OrderOutcome.gone:
            self.let_go(contact)
        elif answer is None:
            self._note_miss(contact, now_s)
        elif answer.boot_ms > contact.worker.boot_ms:
            # It started again and nobody has said so yet.
            worker = contact.worker._replace(boot_ms=answer.boot_ms)
            contact.restart(worker, now_s)
            self._state.propose(RegisterWorker(worker))
        elif not answer.boot_ms or answer.boot_ms == contact.worker.boot_ms:
            ends = self._take_lists(contact, looked, now_s)
        contact.looks.due_s = max(contact.looks.due_s, now_s)
        self.look(contact, now_s)
        return ends

    def note_proposed(self) -> None:
        """Note that all ends told so far are on their way into the log."""
        for contact in self._telling.values():
            contact.ends.proposed = contact.ends.noted

    def take_note(self, now_s: float) -> None:
        """Let workers forget the ends that are recorded by now.

        What a worker has told since is not in the log yet. Forgotten there,
        it would be lost with this process, and the task would run again.
        """
        for name, contact in tuple(self._telling.items()):
            if contact.ends.noted == contact.ends.proposed:
                self._telling.pop(name)
            if contact.ends.proposed > contact.ends.seen:
                contact.ends.seen = contact.ends.proposed
                self.look(contact, now_s)

    def let_go(self, contact: Contact) -> None:
        """Forget a worker that has surely ended."""
        gone = (contact.worker.name, contact.worker.boot_ms)
        if gone not in self._leaving:
            self._leaving.add(gone)
            runs = len(self._state.get_runs(gone[0]))
            self._state.log('worker.gone', gone[0], runs=runs)
            self._state.propose(ForgetWorker(*gone))

    def note_forgotten(self, forgotten: ForgetWorker) -> None:
        """Note that the log has forgotten a worker."""
        self._leaving.discard((forgotten.name, forgotten.boot_ms))

    def _forget_silent(self, contact: Contact, now_s: float) -> None:
        quiet_s = now_s - max(contact.heard_s, contact.announced_s)
        is_settled = now_s > self._state.over_at_s
        if quiet_s > self._state.settings.forget_s and is_settled:
            self.let_go(contact)

    def _get_wait_ms(self, contact: Contact) -> int:
        name = contact.worker.name
        usage = self._state.jobs.usage
        is_watched = (
            usage.best_effort_counts[name]
            and usage.latency_sensitive_counts[name]
        )
        settings = self._state.settings
        return settings.watch_ms if is_watched else settings.wait_ms

    def _note_miss(self, contact: Contact, now_s: float) -> None:
        contact.looks.misses += 1
        if contact.looks.misses == 1:
            heard_s = round(now_s - contact.heard_s, 3)
            name = contact.worker.name
            self._state.log('worker.silent', name, heard_ago_s=heard_s)
        settings = self._state.settings
        wait_s = settings.retry_s * contact.looks.misses
        contact.looks.due_s = now_s + min(wait_s, settings.retry_max_s)

    def _take_lists(
        self,
        contact: Contact,
        looked: WorkerPolled,
        now_s: float,
    ) -> list[FinishedRun]:
        answer = looked.answer
        if answer is None or looked.fence < contact.fence:
            return []
        contact.note_clock(answer.clock_ms, now_s)
        contact.heard_s = now_s
        contact.looks.misses = 0
        if not contact.is_synced:
            self._state.is_changed = True
            runs = len(answer.running)
            name = contact.worker.name
            self._state.log('worker.heard', name, runs=runs)
        contact.is_synced = contact.has_clock
        contact.listed = {one.task: one for one in answer.running}
        ends = collect_ends(contact, looked)
        if ends:
            self._telling[contact.worker.name] = contact
        for over in ends:
            self._state.note_end(over)
        self._compare(contact, looked, now_s)
        self._pace(contact, now_s)
        return ends

    def _compare(
        self,
        contact: Contact,
        looked: WorkerPolled,
        now_s: float,
    ) -> None:
        state = self._state
        ending = set(state.ends)
        for lost in find_lost(state.jobs, contact, looked, ending):
            state.note_end(lost)
            state.log(
                'run.lost',
                str(lost.task),
                run=lost.number,
                worker=looked.worker,
                fence=looked.fence,
            )
        for orphan in find_orphans(state.jobs, contact):
            state.stop(contact, orphan.task, orphan.number, now_s)

    def _pace(self, contact: Contact, now_s: float) -> None:
        state = self._state
        self._pacing.note_look(state.jobs, contact, now_s)
        name = contact.worker.name
        for paced in self._pacing.choose(state.jobs, contact):
            task, number, percent = paced
            self._pacing.note_sent(name, task, number, percent)
            state.outputs.append(
                ThrottleRun(
                    contact.worker,
                    task,
                    number,
                    contact.fence,
                    percent,
                    state.settings.answer_s,
                ),
            )
