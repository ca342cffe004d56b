"""Tickets of an outside policy that allows only some workers to run a step."""

from collections.abc import Callable
from typing import NamedTuple

from sardinemast.dispatch._events import AdviceAnswered, RequestAdvice
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._step_priority import get_order
from sardinemast.jobs import StepKey, StepState, Worker

_MS = 1000
# What a job's target allows for: its chain counts one question about so many.
_ASKED_MAX = 30
# A start takes some milliseconds to its worker; a ticket must last until then.
_SPARE_S = 0.1
# The service works through the questions of this process one by one; a
# question without an answer or turned away is put again after this.
_AGAIN_S = 0.5


class _Known(NamedTuple):
    """Hold what the policy said of one life of a worker."""

    ticket: str
    boot_ms: int
    until_s: float


class Tickets:
    """Ask which workers may run a step, and keep the tickets.

    The policy takes its time for each worker that is named, and one question
    after the other. So only workers with room are named, the emptiest first,
    and the most pressing step is asked about first.
    """

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._known: dict[StepKey, dict[str, _Known]] = {}
        self._asked: RequestAdvice | None = None
        self._next_s = float('-inf')

    def start_term(self) -> None:
        """Forget what was known in a former term."""
        self._known.clear()
        self._asked = None
        self._next_s = float('-inf')

    def find(self, step: StepState, worker: Worker, now_s: float) -> str:
        """Give the ticket for a start, empty where there is none."""
        known = self._find_known(step.key, worker, now_s)
        return known.ticket if known else ''

    def is_allowed(self, step: StepState, worker: Worker, now_s: float) -> bool:
        """Tell whether a step may start at a worker now."""
        if self._state.get_advice(step) is None:
            return True
        return bool(self.find(step, worker, now_s))

    def forget(self, step: StepKey, worker: str) -> None:
        """Forget a ticket that a worker did not take."""
        self._known.get(step, {}).pop(worker, None)

    def ask(
        self,
        is_usable: Callable[[str], bool],
        now_s: float,
        now_ms: int,
    ) -> None:
        """Ask for the most pressing step that has no worker to start on."""
        if self._asked is not None or now_s < self._next_s:
            return
        queues = self._state.jobs.catalog.queues
        if all(queue.advice is None for queue in queues):
            return
        steps = self._list_steps(now_ms)
        if not steps:
            self._known.clear()
            return
        for step in steps:
            named = self._choose_workers(step, is_usable, now_s)
            if named:
                self._send(step, named)
                return

    def take_answer(self, answered: AdviceAnswered, now_s: float) -> bool:
        """Take the policy's answer; tell whether starts became possible."""
        asked = self._asked
        if asked is None or answered.step != asked.step:
            return False
        self._asked = None
        granted = {one.worker: one.ticket for one in answered.tickets}
        self._state.log(
            'advice.answered',
            str(answered.step),
            asked=len(asked.workers),
            granted=len(granted),
            is_answered=int(answered.is_answered),
        )
        if not answered.is_answered:
            self._next_s = now_s + _AGAIN_S
            return False
        known = self._known.setdefault(answered.step, {})
        until_s = now_s + asked.valid_s - _SPARE_S
        for worker in asked.workers:
            ticket = granted.get(worker.name, '')
            known[worker.name] = _Known(ticket, worker.boot_ms, until_s)
        return bool(granted)

    def _list_steps(self, now_ms: int) -> list[StepState]:
        state = self._state
        waiting = [
            step
            for step in state.jobs.ready.values()
            if step.waiting and state.get_advice(step) is not None
        ]
        return sorted(
            waiting,
            key=lambda step: get_order(
                state.jobs.get_job(step),
                step,
                now_ms,
            ),
        )

    def _choose_workers(
        self,
        step: StepState,
        is_usable: Callable[[str], bool],
        now_s: float,
    ) -> tuple[Worker, ...]:
        jobs = self._state.jobs
        pool = jobs.get_queue(step).pool
        wanted = step.spec
        fitting = [
            jobs.workers[name]
            for name in jobs.usage.free.iterate_fitting(
                pool, wanted.reserved_size
            )
            if wanted.allows_labels(jobs.workers[name].labels)
            and is_usable(name)
        ]
        if any(self.find(step, worker, now_s) for worker in fitting):
            return ()
        unknown = [
            worker
            for worker in fitting
            if self._find_known(step.key, worker, now_s) is None
        ]
        unknown.sort(
            key=lambda worker: jobs.get_free(worker).millicores,
            reverse=True,
        )
        return tuple(unknown[:_ASKED_MAX])

    def _send(self, step: StepState, workers: tuple[Worker, ...]) -> None:
        advice = self._state.get_advice(step)
        if advice is None:
            return
        answer_s = self._state.settings.answer_s
        taken_ms = advice.decide_ms + advice.per_worker_ms * len(workers)
        self._asked = RequestAdvice(
            step.key,
            workers,
            advice.valid_ms / _MS,
            taken_ms / _MS + answer_s,
        )
        self._state.outputs.append(self._asked)

    def _find_known(
        self,
        step: StepKey,
        worker: Worker,
        now_s: float,
    ) -> _Known | None:
        known = self._known.get(step, {}).get(worker.name)
        if known is None or known.boot_ms != worker.boot_ms:
            return None
        # Who may run a step does not change; only tickets run out.
        is_denied = not known.ticket
        return known if is_denied or now_s < known.until_s else None
