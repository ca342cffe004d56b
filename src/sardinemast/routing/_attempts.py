"""Attempts of requests at upstreams, and their retries."""

from enum import StrEnum
from http import HTTPStatus
from random import Random
from typing import NamedTuple

from sardinemast.admission import (
    QueuedRequest,
    Refusal,
    RunOutcome,
    refuse_unknown,
)
from sardinemast.fleet import FleetState, get_pool
from sardinemast.membership import Announcement
from sardinemast.routing._budget import RetryBudget
from sardinemast.routing._picker import UpstreamCriteria, UpstreamPicker

_MAX_SENT_ATTEMPTS = 3
_INITIAL_BACKOFF_S = 0.01
_MAX_BACKOFF_S = 0.5
_MAX_DOUBLINGS = 6
_MAX_AVOIDED = 4


class AttemptResult(StrEnum):
    """How an attempt at an upstream ended.

    ``not_sent`` requires that no byte of the request can have been sent.
    ``failed`` is a complete answer that reports a server error. After
    ``broken``, ``timed_out`` or ``silent`` the upstream may still run the
    request. ``silent`` means no answer on a reused connection, whose state a
    network device may have dropped.
    """

    answered = 'answered'
    failed = 'failed'
    not_sent = 'not sent'
    broken = 'broken'
    timed_out = 'timed out'
    silent = 'silent'


_CERTAINLY_ENDED = frozenset(
    (AttemptResult.answered, AttemptResult.failed, AttemptResult.not_sent),
)
_WITH_ANSWER = frozenset((AttemptResult.answered, AttemptResult.failed))
_TIMEOUTS = frozenset((AttemptResult.timed_out, AttemptResult.silent))


class StartAttempt(NamedTuple):
    """Send the request to the upstream, and stop at the timeout.

    Nothing may be sent after ``valid_until_s`` on the monotonic clock, when
    the entry's lease has expired and its key may have been withdrawn.
    """

    request_id: int
    upstream: Announcement
    timeout_s: float
    is_repeatable: bool
    connection_limit: int
    valid_until_s: float = float('inf')


class NextStep(StrEnum):
    """What to do after the end of an attempt."""

    pass_answer = 'pass answer'
    retry = 'retry'
    refuse = 'refuse'


class AttemptOutcome(NamedTuple):
    """Hold the next step after the end of an attempt.

    ``held_until_s`` is set if the upstream may still run the request; until
    then the attempt is held as running, even during a retry. A retry starts
    no earlier than ``not_before_s``.
    """

    request: QueuedRequest
    next_step: NextStep
    refusal: Refusal | None = None
    held_until_s: float | None = None
    not_before_s: float = float('-inf')


class _RunningAttempt(NamedTuple):
    request: QueuedRequest
    upstream: Announcement
    started_s: float
    may_run_until_s: float


class _History(NamedTuple):
    """Hold the results of former attempts of a request."""

    avoided: tuple[Announcement, ...] = ()
    sent_count: int = 0
    attempt_count: int = 0
    not_before_s: float = float('-inf')


_NO_HISTORY = _History()


class AttemptTable:
    """Start attempts at upstreams and decide on their retries."""

    def __init__(self, site: str, random: Random) -> None:
        self._site = site
        self._random = random
        self._picker = UpstreamPicker(site, random)
        self._running: dict[int, _RunningAttempt] = {}
        self._histories: dict[int, _History] = {}
        self._abandoned: set[int] = set()
        self._budgets: dict[str, RetryBudget] = {}

    def replace_roster(
        self,
        announcements: tuple[Announcement, ...],
        now_s: float,
    ) -> None:
        """Replace the known upstreams."""
        self._picker.replace_roster(announcements, now_s)

    def start(
        self,
        state: FleetState,
        request: QueuedRequest,
        now_s: float,
    ) -> StartAttempt | None:
        """Start an attempt, or return None if it must wait."""
        history = self._histories.get(request.request_id, _NO_HISTORY)
        pool = get_pool(state, request.pool, self._site)
        if pool is None or now_s < history.not_before_s:
            return None
        criteria = UpstreamCriteria(
            request.pool, request.is_repeatable, history.avoided
        )
        upstream = self._picker.choose(state, criteria, now_s)
        if upstream is None:
            return None
        self._picker.start(upstream)
        self._running[request.request_id] = _RunningAttempt(
            request,
            upstream,
            now_s,
            now_s + pool.run_bound_s,
        )
        timeout_s = min(request.due_s - now_s, pool.run_bound_s)
        return StartAttempt(
            request.request_id,
            upstream,
            timeout_s,
            request.is_repeatable,
            pool.connections,
        )

    def end(
        self,
        request_id: int,
        attempt_result: AttemptResult,
        now_s: float,
    ) -> AttemptOutcome:
        """Record the end of an attempt and return the next step."""
        running = self._running.pop(request_id)
        request = running.request
        self._picker.end(running.upstream)
        self._record(running, attempt_result, now_s)
        held_until_s = None
        if attempt_result not in _CERTAINLY_ENDED:
            held_until_s = running.may_run_until_s
        if self._may_retry(running, attempt_result, now_s):
            self._schedule_retry(running, attempt_result, now_s)
            return AttemptOutcome(
                request,
                NextStep.retry,
                None,
                held_until_s,
                self._histories[request_id].not_before_s,
            )
        self._histories.pop(request_id, None)
        self._abandoned.discard(request_id)
        if attempt_result in _WITH_ANSWER:
            return AttemptOutcome(request, NextStep.pass_answer)
        return AttemptOutcome(
            request,
            NextStep.refuse,
            _refuse_unknown(attempt_result),
            held_until_s,
        )

    def resolve_refusal(self, request_id: int, refusal: Refusal) -> Refusal:
        """Return the refusal, corrected for earlier attempts.

        A queued request that missed its deadline is refused as not run, but
        it may have run if an earlier attempt was sent.
        """
        history = self._histories.pop(request_id, _NO_HISTORY)
        if history.sent_count and refusal.outcome is RunOutcome.not_run:
            return _refuse_unknown(AttemptResult.timed_out)
        return refusal

    def abandon(self, request_id: int) -> None:
        """Prevent retries of a request whose caller has disconnected."""
        self._histories.pop(request_id, None)
        if request_id in self._running:
            self._abandoned.add(request_id)

    def _record(
        self,
        running: _RunningAttempt,
        attempt_result: AttemptResult,
        now_s: float,
    ) -> None:
        upstream = running.upstream
        started_s = running.started_s
        if attempt_result is AttemptResult.answered:
            self._picker.record_answer(upstream, started_s, now_s)
            self._get_budget(upstream.pool).record_success()
        elif attempt_result is AttemptResult.timed_out:
            if self._picker.counts_as_failure(upstream, now_s - started_s):
                self._picker.record_failure(upstream, started_s, now_s)
        elif attempt_result is not AttemptResult.silent:
            self._picker.record_failure(upstream, started_s, now_s)

    def _may_retry(
        self,
        running: _RunningAttempt,
        attempt_result: AttemptResult,
        now_s: float,
    ) -> bool:
        request = running.request
        if (
            attempt_result is AttemptResult.answered
            or request.request_id in self._abandoned
        ):
            return False
        if attempt_result is AttemptResult.not_sent:
            return True
        history = self._histories.get(request.request_id, _NO_HISTORY)
        return (
            request.is_repeatable
            and now_s < request.due_s
            and history.sent_count + 1 < _MAX_SENT_ATTEMPTS
            and self._get_budget(request.pool).take()
        )

    def _schedule_retry(
        self,
        running: _RunningAttempt,
        attempt_result: AttemptResult,
        now_s: float,
    ) -> None:
        request_id = running.request.request_id
        history = self._histories.get(request_id, _NO_HISTORY)
        max_backoff_s = min(
            _INITIAL_BACKOFF_S * 2**history.attempt_count, _MAX_BACKOFF_S
        )
        # A dead connection does not indicate a fault of the upstream.
        counts_against_upstream = attempt_result is not AttemptResult.silent
        self._histories[request_id] = _History(
            (history.avoided + (running.upstream,) * counts_against_upstream)[
                -_MAX_AVOIDED:
            ],
            history.sent_count + (attempt_result is not AttemptResult.not_sent),
            min(history.attempt_count + 1, _MAX_DOUBLINGS),
            now_s + self._random.uniform(0, max_backoff_s),
        )

    def _get_budget(self, pool: str) -> RetryBudget:
        return self._budgets.setdefault(pool, RetryBudget())


def _refuse_unknown(attempt_result: AttemptResult) -> Refusal:
    if attempt_result in _TIMEOUTS:
        return refuse_unknown(
            'routing.E001',
            HTTPStatus.GATEWAY_TIMEOUT,
            'The upstream did not answer in time; it may have run the request.',
        )
    return refuse_unknown(
        'routing.E002',
        HTTPStatus.BAD_GATEWAY,
        'The upstream sent no full answer; it may have run the request.',
    )
