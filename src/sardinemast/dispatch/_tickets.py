"""Request and cache tickets of the external placement policy."""

from collections.abc import Callable
from typing import NamedTuple

from sardinemast.dispatch._eligibility import count_by_worker, is_eligible
from sardinemast.dispatch._events import AdviceAnswered, RequestAdvice
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._step_priority import get_step_priority
from sardinemast.jobs import StepKey, StepState, Worker

_MS = 1000
# A job's target allows for one request with this many workers.
_REQUESTED_WORKERS_MAX = 30
# A ticket must still be valid when the start reaches its worker.
_EXPIRY_MARGIN_S = 0.1
# Delay before a request is repeated that failed or was not answered. The policy
# service answers the requests of this process one by one.
_RETRY_S = 0.5


class _CachedTicket(NamedTuple):
    """Hold the policy's answer for one boot of a worker, '' if denied."""

    ticket: str
    boot_ms: int
    expires_s: float


class TicketCache:
    """Request tickets to run steps on workers, and cache the answers.

    The policy serves one request at a time and needs time per worker. A
    request therefore names only workers with free capacity, emptiest first,
    and steps are served by priority.
    """

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._cache: dict[StepKey, dict[str, _CachedTicket]] = {}
        self._pending: RequestAdvice | None = None
        self._next_request_s = float('-inf')
        # Steps whose requests failed since the last answer.
        self._unanswered: set[StepKey] = set()

    def start_term(self) -> None:
        """Discard the state of the previous term."""
        self._cache.clear()
        self._pending = None
        self._next_request_s = float('-inf')
        self._unanswered.clear()

    def get_ticket(self, step: StepState, worker: Worker, now_s: float) -> str:
        """Return the valid ticket for a start, or an empty string."""
        cached = self._find_cached(step.key, worker, now_s)
        return cached.ticket if cached else ''

    def is_allowed(self, step: StepState, worker: Worker, now_s: float) -> bool:
        """Check whether a step may start on a worker."""
        if self._state.get_advice(step) is None:
            return True
        return bool(self.get_ticket(step, worker, now_s))

    def discard(self, step: StepKey, worker: str) -> None:
        """Discard a ticket that a worker has refused."""
        self._cache.get(step, {}).pop(worker, None)

    def request_tickets(
        self,
        is_usable: Callable[[str], bool],
        now_s: float,
        now_ms: int,
    ) -> None:
        """Request tickets for the first step that no usable worker may run.

        Steps whose requests failed come last until another one is answered, so
        that they do not delay the others for ever.
        """
        if self._pending is not None or now_s < self._next_request_s:
            return
        queues = self._state.jobs.catalog.queues
        if all(queue.advice is None for queue in queues):
            return
        steps = self._list_steps(now_ms)
        if not steps:
            self._cache.clear()
            return
        steps.sort(key=lambda step: step.key in self._unanswered)
        for step in steps:
            workers = self._choose_workers(step, is_usable, now_s)
            if workers:
                if step.key in self._unanswered:
                    # All have failed, so they take turns again.
                    self._unanswered.clear()
                self._send_request(step, workers)
                return

    def handle_answer(self, event: AdviceAnswered, now_s: float) -> bool:
        """Store the policy's answer and return whether tickets were granted."""
        request = self._pending
        if request is None or event.step != request.step:
            return False
        self._pending = None
        granted_tickets = {one.worker: one.ticket for one in event.tickets}
        self._state.log(
            'advice.answered',
            str(event.step),
            asked=len(request.workers),
            granted=len(granted_tickets),
            is_answered=int(event.is_answered),
        )
        if not event.is_answered:
            self._next_request_s = now_s + _RETRY_S
            self._unanswered.add(event.step)
            return False
        self._unanswered.clear()
        cached = self._cache.setdefault(event.step, {})
        expires_s = now_s + request.valid_s - _EXPIRY_MARGIN_S
        for worker in request.workers:
            ticket = granted_tickets.get(worker.name, '')
            cached[worker.name] = _CachedTicket(
                ticket, worker.boot_ms, expires_s
            )
        return bool(granted_tickets)

    def _list_steps(self, now_ms: int) -> list[StepState]:
        state = self._state
        waiting = [
            step
            for step in state.jobs.ready.values()
            if step.waiting and state.get_advice(step) is not None
        ]
        return sorted(
            waiting,
            key=lambda step: get_step_priority(
                state.jobs.get_job(step),
                step,
                state.durations,
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
        spec = step.spec
        on_worker = count_by_worker(step)
        fitting = [
            jobs.workers[name]
            for name in jobs.usage.free.iterate_fitting(
                pool, spec.reserved_size
            )
            if is_eligible(step, jobs.workers[name], on_worker)
            and is_usable(name)
        ]
        ticketed = [
            worker for worker in fitting if self.get_ticket(step, worker, now_s)
        ]
        if self._has_room(step, ticketed):
            return ()
        unknown = [
            worker
            for worker in fitting
            if self._find_cached(step.key, worker, now_s) is None
        ]
        unknown.sort(
            key=lambda worker: jobs.get_free(worker).millicores,
            reverse=True,
        )
        return tuple(unknown[:_REQUESTED_WORKERS_MAX])

    def _has_room(self, step: StepState, workers: list[Worker]) -> bool:
        """Check whether the next tasks of a step fit on workers with room.

        The members of a gang start together, other tasks one by one.
        """
        spec = step.spec
        wanted = spec.task_count if spec.is_gang else 1
        most = spec.max_per_worker or wanted
        for worker in workers:
            free = self._state.jobs.get_free(worker)
            for _ in range(min(most, wanted)):
                if not spec.reserved_size.fits(free):
                    break
                free = free.plus(spec.reserved_size, -1)
                wanted -= 1
            if not wanted:
                return True
        return False

    def _send_request(
        self, step: StepState, workers: tuple[Worker, ...]
    ) -> None:
        advice = self._state.get_advice(step)
        if advice is None:
            return
        answer_s = self._state.settings.answer_s
        taken_ms = advice.decide_ms + advice.per_worker_ms * len(workers)
        self._pending = RequestAdvice(
            step.key,
            workers,
            advice.valid_ms / _MS,
            taken_ms / _MS + answer_s,
        )
        self._state.outputs.append(self._pending)

    def _find_cached(
        self,
        step: StepKey,
        worker: Worker,
        now_s: float,
    ) -> _CachedTicket | None:
        cached = self._cache.get(step, {}).get(worker.name)
        if cached is None or cached.boot_ms != worker.boot_ms:
            return None
        # A denial is final for a boot of a worker; only tickets expire.
        is_denied = not cached.ticket
        return cached if is_denied or now_s < cached.expires_s else None
