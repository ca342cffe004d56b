"""Attempts under way, and what follows when one ends."""

from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple

from sardinemast.admission import (
    Refusal,
    Waiting,
    refuse_unknown,
)
from sardinemast.fleet import FleetState, get_pool
from sardinemast.membership import Announcement
from sardinemast.routing._picker import UpstreamPicker


class AttemptResult(StrEnum):
    """Tell how an attempt at an upstream ended.

    ``not_sent`` may be said only where no byte of the request can have left.
    All others but ``answered`` mean that the upstream may still run it.
    ``silent`` means that no answer came on a connection used before, which
    something on the way may have lost track of.
    """

    answered = 'answered'
    not_sent = 'not sent'
    broken = 'broken'
    timed_out = 'timed out'
    silent = 'silent'


_LATE = frozenset((AttemptResult.timed_out, AttemptResult.silent))


class StartAttempt(NamedTuple):
    """Send the request to the upstream, and stop at the timeout."""

    request_id: int
    upstream: Announcement
    timeout_s: float
    is_repeatable: bool
    connection_limit: int


class NextStep(StrEnum):
    """Tell what follows the end of an attempt."""

    pass_answer = 'pass answer'
    retry = 'retry'
    refuse = 'refuse'


class Ending(NamedTuple):
    """Hold what follows the end of an attempt.

    ``held_until_s`` is set where the upstream may still run the request;
    until then it counts as running.
    """

    waiting: Waiting
    next_step: NextStep
    refusal: Refusal | None = None
    held_until_s: float | None = None


class _Running(NamedTuple):
    waiting: Waiting
    upstream: Announcement
    bound_until_s: float


class AttemptTable:
    """Hold this entry's attempts and the upstreams they run at."""

    def __init__(self, site: str) -> None:
        self._site = site
        self._picker = UpstreamPicker(site)
        self._running: dict[int, _Running] = {}

    def replace_roster(self, announcements: tuple[Announcement, ...]) -> None:
        """Take the upstreams that are there now."""
        self._picker.replace_roster(announcements)

    def start(
        self,
        state: FleetState,
        waiting: Waiting,
        now_s: float,
    ) -> StartAttempt | None:
        """Choose an upstream, or give nothing where no slot is free."""
        upstream = self._picker.choose(state, waiting.pool)
        pool = get_pool(state, waiting.pool, self._site)
        if upstream is None or pool is None:
            return None
        self._picker.start(upstream.instance)
        self._running[waiting.request_id] = _Running(
            waiting,
            upstream,
            now_s + pool.run_bound_s,
        )
        timeout_s = min(waiting.due_s - now_s, pool.run_bound_s)
        return StartAttempt(
            waiting.request_id,
            upstream,
            timeout_s,
            waiting.is_repeatable,
            pool.connections,
        )

    def end(self, request_id: int, attempt_result: AttemptResult) -> Ending:
        """Note how an attempt ended, and tell what follows."""
        running = self._running.pop(request_id)
        self._picker.end(running.upstream.instance)
        if attempt_result is AttemptResult.answered:
            return Ending(running.waiting, NextStep.pass_answer)
        if attempt_result is AttemptResult.not_sent:
            return Ending(running.waiting, NextStep.retry)
        return Ending(
            running.waiting,
            NextStep.refuse,
            _describe_unknown(attempt_result),
            running.bound_until_s,
        )


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
