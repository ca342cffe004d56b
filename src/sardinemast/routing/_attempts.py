"""Attempts under way, and what follows when one ends."""

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

_MAX_SENT = 3
_FIRST_BACK_OFF_S = 0.01
_LONGEST_BACK_OFF_S = 0.5
_MOST_DOUBLINGS = 6
_MOST_AVOIDED = 4


class AttemptResult(StrEnum):
    """Tell how an attempt at an upstream ended.

    ``not_sent`` may be said only where no byte of the request can have left.
    ``failed`` is a whole answer that reports an error of the server. After
    the others the upstream may still run the request. ``silent`` means that
    no answer came on a connection used before, which something on the way
    may have lost track of.
    """

    answered = 'answered'
    failed = 'failed'
    not_sent = 'not sent'
    broken = 'broken'
    timed_out = 'timed out'
    silent = 'silent'


_ENDED = frozenset(
    (AttemptResult.answered, AttemptResult.failed, AttemptResult.not_sent),
)
_WITH_ANSWER = frozenset((AttemptResult.answered, AttemptResult.failed))
_LATE = frozenset((AttemptResult.timed_out, AttemptResult.silent))


class StartAttempt(NamedTuple):
    """Send the request to the upstream, and stop at the timeout.

    Once ``valid_until_s`` has passed on the monotonic clock, nothing may be
    sent any more: the entry's lease has ended, and what was decided under it
    may have been withdrawn.
    """

    request_id: int
    upstream: Announcement
    timeout_s: float
    is_repeatable: bool
    connection_limit: int
    valid_until_s: float = float('inf')


class NextStep(StrEnum):
    """Tell what follows the end of an attempt."""

    pass_answer = 'pass answer'
    retry = 'retry'
    refuse = 'refuse'


class AttemptOutcome(NamedTuple):
    """Hold what follows the end of an attempt.

    ``held_until_s`` is set where the upstream may still run the request;
    until then it counts as running, also while it is tried elsewhere. A retry
    waits until ``not_before_s``.
    """

    request: QueuedRequest
    next_step: NextStep
    refusal: Refusal | None = None
    held_until_s: float | None = None
    not_before_s: float = float('-inf')


class _Running(NamedTuple):
    request: QueuedRequest
    upstream: Announcement
    started_s: float
    bound_until_s: float


class _History(NamedTuple):
    """Hold what former attempts of a request came to."""

    avoided: tuple[Announcement, ...] = ()
    sent_count: int = 0
    try_count: int = 0
    not_before_s: float = float('-inf')


_NO_HISTORY = _History()


class AttemptTable:
    """Hold this entry's attempts and the upstreams they run at."""

    def __init__(self, site: str, random: Random) -> None:
        self._site = site
        self._random = random
        self._picker = UpstreamPicker(site, random)
        self._running: dict[int, _Running] = {}
        self._histories: dict[int, _History] = {}
        self._left: set[int] = set()
        self._budgets: dict[str, RetryBudget] = {}

    def replace_roster(
        self,
        announcements: tuple[Announcement, ...],
        now_s: float,
    ) -> None:
        """Take the upstreams that are there now."""
        self._picker.replace_roster(announcements, now_s)

    def start(
        self,
        state: FleetState,
        request: QueuedRequest,
        now_s: float,
    ) -> StartAttempt | None:
        """Choose an upstream, or give nothing where none is to be had yet."""
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
        self._running[request.request_id] = _Running(
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
        """Note how an attempt ended, and tell what follows."""
        running = self._running.pop(request_id)
        request = running.request
        self._picker.end(running.upstream)
        self._note(running, attempt_result, now_s)
        held_until_s = None
        if attempt_result not in _ENDED:
            held_until_s = running.bound_until_s
        if self._may_retry(running, attempt_result, now_s):
            self._back_off(running, attempt_result, now_s)
            return AttemptOutcome(
                request,
                NextStep.retry,
                None,
                held_until_s,
                self._histories[request_id].not_before_s,
            )
        self._histories.pop(request_id, None)
        self._left.discard(request_id)
        if attempt_result in _WITH_ANSWER:
            return AttemptOutcome(request, NextStep.pass_answer)
        return AttemptOutcome(
            request,
            NextStep.refuse,
            _describe_unknown(attempt_result),
            held_until_s,
        )

    def resolve_refusal(self, request_id: int, refusal: Refusal) -> Refusal:
        """Give the refusal, made true for what was sent before.

        A request that was sent once and then waited for another try until
        its deadline may have run, whatever the queue says.
        """
        history = self._histories.pop(request_id, _NO_HISTORY)
        if history.sent_count and refusal.outcome is RunOutcome.not_run:
            return _describe_unknown(AttemptResult.timed_out)
        return refusal

    def abandon(self, request_id: int) -> None:
        """Note that nobody waits for the answer, so that no retry follows."""
        self._histories.pop(request_id, None)
        if request_id in self._running:
            self._left.add(request_id)

    def _note(
        self,
        running: _Running,
        attempt_result: AttemptResult,
        now_s: float,
    ) -> None:
        upstream = running.upstream
        started_s = running.started_s
        if attempt_result is AttemptResult.answered:
            self._picker.note_answer(upstream, started_s, now_s)
            self._get_budget(upstream.pool).note_success()
        elif attempt_result is AttemptResult.timed_out:
            if self._picker.is_late(upstream, now_s - started_s):
                self._picker.note_failure(upstream, started_s, now_s)
        elif attempt_result is not AttemptResult.silent:
            self._picker.note_failure(upstream, started_s, now_s)

    def _may_retry(
        self,
        running: _Running,
        attempt_result: AttemptResult,
        now_s: float,
    ) -> bool:
        request = running.request
        if (
            attempt_result is AttemptResult.answered
            or request.request_id in self._left
        ):
            return False
        if attempt_result is AttemptResult.not_sent:
            return True
        history = self._histories.get(request.request_id, _NO_HISTORY)
        return (
            request.is_repeatable
            and now_s < request.due_s
            and history.sent_count + 1 < _MAX_SENT
            and self._get_budget(request.pool).take()
        )

    def _back_off(
        self,
        running: _Running,
        attempt_result: AttemptResult,
        now_s: float,
    ) -> None:
        request_id = running.request.request_id
        history = self._histories.get(request_id, _NO_HISTORY)
        longest_s = min(
            _FIRST_BACK_OFF_S * 2**history.try_count, _LONGEST_BACK_OFF_S
        )
        # A connection's silence says nothing about the upstream behind it.
        is_blamed = attempt_result is not AttemptResult.silent
        self._histories[request_id] = _History(
            (history.avoided + (running.upstream,) * is_blamed)[
                -_MOST_AVOIDED:
            ],
            history.sent_count + (attempt_result is not AttemptResult.not_sent),
            min(history.try_count + 1, _MOST_DOUBLINGS),
            now_s + self._random.uniform(0, longest_s),
        )

    def _get_budget(self, pool: str) -> RetryBudget:
        return self._budgets.setdefault(pool, RetryBudget())


def _describe_unknown(attempt_result: AttemptResult) -> Refusal:
    if attempt_result in _LATE:
        return refuse_unknown(
            'routing.E001',
            HTTPStatus.GATEWAY_TIMEOUT,
            'The upstream did not answer in time; it may have run this.',
        )
    return refuse_unknown(
        'routing.E002',
        HTTPStatus.BAD_GATEWAY,
        'The upstream broke off its answer; it may have run this.',
    )
