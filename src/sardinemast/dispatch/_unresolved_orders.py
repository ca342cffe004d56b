"""Resolve orders to workers whose result never came, not even a timeout."""

from collections.abc import Iterable
from typing import NamedTuple

from sardinemast.dispatch._event_budget import EventBudget
from sardinemast.dispatch._events import (
    DispatchOutput,
    PollWorker,
    StartAnswered,
    StartRun,
    WorkerPolled,
)
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import TaskKey

_MS = 1000
# Time beyond the longest timeout of an order after which it is reported.
_GRACE_S = 2.0
# After a pause of this process, results that wait are handled first.
_PAUSE_MIN_S = 1.0
_LINES_PER_S = 20


class _PollKey(NamedTuple):
    worker: str
    sent_s: float


class _StartKey(NamedTuple):
    worker: str
    task: TaskKey
    number: int


_OrderKey = _PollKey | _StartKey
_Result = WorkerPolled | StartAnswered


class _SentOrder(NamedTuple):
    sent_s: float
    fence: int


class UnresolvedOrders:
    """Hold the polls and starts without a result, in the order of sending.

    A poll without a result keeps its worker from being polled again, and a
    start without one keeps its run in the log. Such an order is overdue and
    then counts as one without an answer.
    """

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._sent: dict[_OrderKey, _SentOrder] = {}
        self._budget = EventBudget(_LINES_PER_S)
        self._ticked_s = float('-inf')
        self._resumed_s = float('-inf')

    def start_term(self) -> None:
        """Discard the orders of the previous term."""
        self._sent.clear()
        self._ticked_s = float('-inf')

    def record_sent(
        self, outputs: Iterable[DispatchOutput], now_s: float
    ) -> None:
        """Record the polls and starts among the outputs."""
        for order in outputs:
            if isinstance(order, PollWorker):
                poll_key = _PollKey(order.worker.name, order.sent_s)
                self._sent[poll_key] = _SentOrder(now_s, order.fence)
            elif isinstance(order, StartRun):
                start_key = _StartKey(
                    order.worker.name, order.task, order.number
                )
                self._sent[start_key] = _SentOrder(now_s, order.fence)

    def record_result(self, event: WorkerPolled | StartAnswered) -> None:
        """Record the result of an order."""
        if isinstance(event, WorkerPolled):
            self._sent.pop(_PollKey(event.worker, event.sent_s), None)
        else:
            start_key = _StartKey(event.worker, event.task, event.number)
            self._sent.pop(start_key, None)

    def take_overdue(self, now_s: float) -> list[_Result]:
        """Remove and log the overdue orders; return a result for each."""
        if now_s > self._ticked_s + _PAUSE_MIN_S:
            self._resumed_s = now_s
        self._ticked_s = now_s
        if now_s < self._resumed_s + _GRACE_S:
            return []
        sent_before_s = now_s - self._get_overdue_s()
        results: list[_Result] = []
        while self._sent:
            key = next(iter(self._sent))
            sent = self._sent[key]
            if sent.sent_s >= sent_before_s:
                break
            self._sent.pop(key)
            self._log(key, now_s - sent.sent_s, now_s)
            results.append(_make_result(key, sent))
        return results

    def _get_overdue_s(self) -> float:
        settings = self._state.settings
        poll_s = settings.wait_ms / _MS + settings.answer_s
        return max(poll_s, settings.start_answer_s) + _GRACE_S

    def _log(self, key: _OrderKey, unresolved_s: float, now_s: float) -> None:
        if not self._budget.take(now_s):
            return
        details: dict[str, str | float] = {'order': 'poll'}
        if isinstance(key, _StartKey):
            details = {
                'order': 'start',
                'task': str(key.task),
                'run': key.number,
            }
        self._state.log(
            'order.unresolved',
            key.worker,
            **details,
            unresolved_s=round(unresolved_s, 3),
            omitted=self._budget.pop_omitted(),
        )


def _make_result(key: _OrderKey, sent: _SentOrder) -> _Result:
    unknown = OrderOutcome.unknown
    if isinstance(key, _StartKey):
        return StartAnswered(key.worker, key.task, key.number, unknown)
    return WorkerPolled(key.worker, sent.fence, key.sent_s, unknown)
